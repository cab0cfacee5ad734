//! Startup and shutdown of an entry.

use std::sync::Arc;

use mgw_member::AbortCause;
use mgw_peer::{
    Gossip, GroupIdentity, PeerPool, ViewServer, bind_peer_listener, channel_handler, run_gossip,
    serve_peers,
};
use mgw_serve::Shutdown;
use mgw_world::Millis;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::app::App;
use crate::follow_config::follow_config;
use crate::leave::{LeaveResult, leave, list_in_flight, log_aborted_requests};
use crate::open_calls::{OpenCalls, handle_counted_request};
use crate::refresh::run_refresh;
use crate::settings::EntrySettings;

/// Maximum pause between two checks of the requests queued for admission.
const MAX_POLL_MS: Millis = Millis(20);

/// Time limit for sending final answers to the callers whose requests are aborted.
const ABORT_NOTICE_MS: Millis = Millis(1_000);
/// Time for the last bytes of these answers to be sent before the process exits.
const FLUSH_MS: Millis = Millis(100);

/// Why an entry can't start.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum RunError {
    /// can't listen at {address}: {source}
    Listen {
        /// Address to listen at.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// can't start: {message}
    Start {
        /// Cause of the failure.
        message: String,
    },
}

/// Runs an entry until it is asked to stop and all its requests have ended.
///
/// # Errors
/// When an address can't be used or a part of the entry can't start.
pub async fn run_entry(settings: EntrySettings) -> Result<(), RunError> {
    let start_error = |error: &dyn std::fmt::Display| RunError::Start {
        message: error.to_string(),
    };
    let shutdown = Shutdown::listen().map_err(|error| start_error(&error))?;
    let identity = load_identity(&settings)?;
    let pool = Arc::new(PeerPool::new(identity.clone()));
    let http = listen(settings.listen).await?;
    let peers = bind_peer_listener(settings.peer_listen)
        .await
        .map_err(|source| RunError::Listen {
            address: settings.peer_listen.to_string(),
            source,
        })?;
    info!(
        role = "entry",
        name = %settings.name,
        vm = %settings.vm,
        place = %settings.place,
        region = %settings.region,
        listen = %settings.listen,
        peer_listen = %settings.peer_listen,
        "starting"
    );
    let app =
        App::new(settings, shutdown, pool, rand::random()).map_err(|error| start_error(&error))?;
    let stopped = CancellationToken::new();
    start_background_tasks(&app, peers, identity, &stopped);
    let calls = OpenCalls::default();
    let closing = CancellationToken::new();
    let serving = serve_callers(&app, &calls, http, closing.clone());
    let result = leave(&app, &calls).await;
    closing.cancel();
    match result {
        LeaveResult::Drained { limit_at } => finish_serving(&app, &calls, limit_at, serving).await,
        LeaveResult::Aborted => notify_aborted_callers(&app).await,
    }
    stopped.cancel();
    info!("entry stopped");
    Ok(())
}

/// Loads the identity by which this process and its peers authenticate; `None` without a group.
fn load_identity(settings: &EntrySettings) -> Result<Option<GroupIdentity>, RunError> {
    let Some(files) = &settings.group else {
        warn!("no `group` in the settings: connections from other processes aren't authenticated");
        return Ok(None);
    };
    let loaded = GroupIdentity::load(files);
    loaded.map(Some).map_err(|error| RunError::Start {
        message: error.to_string(),
    })
}

/// Starts the HTTP server for callers, targets and operators.
fn serve_callers(
    app: &Arc<App>,
    calls: &OpenCalls,
    listener: TcpListener,
    closing: CancellationToken,
) -> JoinHandle<()> {
    let forced = app.shutdown.forced.clone();
    let app = Arc::clone(app);
    let calls = calls.clone();
    let handler = move |request| handle_counted_request(Arc::clone(&app), calls.clone(), request);
    tokio::spawn(mgw_serve::http::serve(listener, handler, closing, forced))
}

/// Waits until the requests of the last connections have ended, and aborts them at the limit. The
/// view is kept up to date meanwhile, so that these requests still find their targets.
async fn finish_serving(
    app: &Arc<App>,
    calls: &OpenCalls,
    limit_at: Millis,
    serving: JoinHandle<()>,
) {
    let ending = async {
        let _ = serving.await;
        app.tasks.close();
        app.tasks.wait().await;
    };
    let remaining = limit_at - app.clock.now();
    let ended = app
        .shutdown
        .unless_forced(timeout(remaining.to_duration(), ending));
    let cause = match ended.await {
        Some(Ok(())) => return,
        Some(Err(_)) => AbortCause::Limit,
        None => AbortCause::SecondSignal,
    };
    log_aborted_requests(cause, &list_in_flight(app), calls.count());
    app.shutdown.forced.cancel();
    notify_aborted_callers(app).await;
}

/// Waits for a short time until the callers of aborted requests have their final answer.
async fn notify_aborted_callers(app: &App) {
    app.tasks.close();
    let ending = app.tasks.wait();
    if timeout(ABORT_NOTICE_MS.to_duration(), ending).await.is_ok() {
        sleep(FLUSH_MS.to_duration()).await;
    }
}

/// Starts the peer server and the background tasks; `stopped` ends the exchange with peers.
fn start_background_tasks(
    app: &Arc<App>,
    peers: TcpListener,
    identity: Option<GroupIdentity>,
    stopped: &CancellationToken,
) {
    let view_bytes = app.metrics.view_bytes.clone();
    let gossip = Gossip {
        view: Arc::clone(&app.members.view),
        pool: Arc::clone(app.controls.pool()),
        clock: app.clock.clone(),
        count_bytes: Arc::new(move |bytes| view_bytes.inc_by(bytes)),
    };
    let server = ViewServer {
        view: Arc::clone(&app.members.view),
        clock: app.clock.clone(),
    };
    tokio::spawn(serve_peers(
        peers,
        identity,
        channel_handler!(server),
        stopped.clone(),
    ));
    tokio::spawn(run_gossip(gossip, stopped.clone()));
    tokio::spawn(follow_config(Arc::clone(app)));
    tokio::spawn(run_refresh(Arc::clone(app)));
    tokio::spawn(poll_admissions(Arc::clone(app)));
}

/// Polls admission, so that queued requests start or are refused in time.
async fn poll_admissions(app: Arc<App>) {
    loop {
        let now = app.clock.now();
        app.admissions.lock().poll(now);
        let next = app.admissions.lock().next_poll();
        let pause = next.map_or(MAX_POLL_MS, |next| {
            (next - now).clamp(Millis(1), MAX_POLL_MS)
        });
        tokio::select! {
            () = sleep(pause.to_duration()) => {}
            () = app.admission_queue_changed.notified() => {}
        }
    }
}

/// Binds the listener for callers.
async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, RunError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| RunError::Listen {
        address: address.to_string(),
        source,
    })
}
