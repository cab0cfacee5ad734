//! Serves tunnels to targets for entries whose own links are cut. A tunnel goes from here to the target and nowhere
//! else.

use std::io::ErrorKind;
use std::sync::Arc;

use mgw_peer::{IncomingTunnel, TunnelHandler, TunnelRefusal, TunnelRequest};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::app::App;

/// Makes the handler of tunnels that other entries ask for. Each one is a task of `tasks`, for which a planned stop
/// waits.
#[must_use]
pub fn tunnel_handler(app: &Arc<App>, tasks: &TaskTracker) -> TunnelHandler {
    let (app, tasks) = (Arc::clone(app), tasks.clone());
    Arc::new(move |tunnel| {
        tasks.spawn(serve(Arc::clone(&app), tunnel));
    })
}

async fn serve(app: Arc<App>, tunnel: IncomingTunnel) {
    let request = tunnel.request().clone();
    let began_at = app.clock.now();
    let Ok(_room) = Arc::clone(&app.links.tunnel_room).try_acquire_owned() else {
        refuse(&app, tunnel, TunnelRefusal::Full).await;
        return;
    };
    let target = match open_target(&app, &request).await {
        Ok(target) => target,
        Err(refusal) => {
            refuse(&app, tunnel, refusal).await;
            return;
        }
    };
    app.metrics.count_tunnel("served");
    let passing = timeout(request.time_left_ms.to_duration(), tunnel.pass(target));
    let end = match passing.await {
        Ok(Ok(())) => "closed",
        Ok(Err(_)) => "broken",
        Err(_) => "time is over",
    };
    info!(
        id = %request.id,
        entry = %request.entry,
        target_name = %request.target.name,
        end,
        ms = (app.clock.now() - began_at).0,
        "tunnel for another entry ended"
    );
}

async fn refuse(app: &App, tunnel: IncomingTunnel, refusal: TunnelRefusal) {
    let request = tunnel.request();
    info!(
        id = %request.id,
        entry = %request.entry,
        target_name = %request.target.name,
        %refusal,
        "tunnel for another entry refused"
    );
    app.metrics.count_tunnel("refused");
    // The entry that asked takes a broken connection for a refusal.
    let _ = tunnel.refuse(refusal).await;
}

async fn open_target(app: &App, request: &TunnelRequest) -> Result<TcpStream, TunnelRefusal> {
    if app.is_leaving() || !app.is_ready() {
        return Err(TunnelRefusal::NotServing);
    }
    if app.links.health().is_cut() {
        return Err(TunnelRefusal::CutOff);
    }
    if !app.may_use(&request.target, request.address) {
        return Err(TunnelRefusal::NotUsable);
    }
    let began_at = app.clock.now();
    let error = match app.connection_pool.dial(request.address).await {
        Ok(stream) => {
            app.links.record_opened(app.clock.now());
            return Ok(stream);
        }
        Err(error) => error,
    };
    let health = app.links.explain_failure(began_at).await;
    Err(match error.kind() {
        _ if health.is_cut() => TunnelRefusal::CutOff,
        ErrorKind::ConnectionRefused => TunnelRefusal::TargetRefused,
        _ => TunnelRefusal::TargetUnreachable,
    })
}
