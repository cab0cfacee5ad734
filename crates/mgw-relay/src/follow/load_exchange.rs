//! Exchanges load reports with the other entries: how much of each target an entry uses.

use std::net::SocketAddr;
use std::sync::Arc;

use mgw_member::NodeRole;
use mgw_route::report_interval_ms;
use mgw_world::Millis;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::app::App;

/// Timeout of the exchange with the control.
const ANSWER_TIMEOUT_MS: Millis = Millis(500);

/// Exchanges load reports until the token is cancelled.
pub async fn run_load_exchange(app: Arc<App>, ended: CancellationToken) {
    loop {
        let pausing = sleep(report_interval_ms(app.entries()).to_duration());
        if ended.run_until_cancelled(pausing).await.is_none() {
            return;
        }
        if let Some(control) = find_load_control(&app) {
            exchange(&app, control).await;
        }
    }
}

async fn exchange(app: &App, control: SocketAddr) {
    let entry = app.settings.name.clone();
    let load = app.own_load();
    let answer = app
        .peers
        .call(control, ANSWER_TIMEOUT_MS, |client, context| async move {
            client.share_use(context, entry, load).await
        })
        .await;
    // Without an answer the last one stays valid for a while, after that the number of entries is
    // all that is known of the others.
    match answer {
        Ok(Ok(other_entries)) => app.set_other_entries_load(&other_entries),
        _ => app.record_missed_exchange(),
    }
}

/// The control that collects the load reports: the live control with the lowest address, so that
/// all entries use the same one.
fn find_load_control(app: &App) -> Option<SocketAddr> {
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let controls = nodes.iter();
    let alive = controls.filter(|node| node.info.role == NodeRole::Control && node.is_alive);
    alive.map(|node| node.info.peer_address).min()
}
