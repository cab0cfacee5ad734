//! Start and end of an entry.

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
use crate::follow::follow_config;
use crate::intake::{OpenCalls, take_request};
use crate::leave::{Left, leave, list_in_flight, report_cut};
use crate::refresh::run_refresh;
use crate::settings::EntrySettings;

/// Longest pause between two looks at the requests that wait.
const POLL_MS: Millis = Millis(20);

/// Time in which callers whose requests are cut off are told so.
const CUT_NOTICE_MS: Millis = Millis(1_000);
/// Time in which the last bytes of an answer leave a process that is forced to end.
const FLUSH_MS: Millis = Millis(100);

/// Why an entry can't run.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum RunError {
    /// can't listen at {address}: {source}
    Listen {
        /// The address.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// can't start: {message}
    Start {
        /// What is wrong.
        message: String,
    },
}

/// Runs an entry until it is asked to end and all its requests have ended.
///
/// # Errors
/// When an address can't be used.
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
    let ended = CancellationToken::new();
    start_parts(&app, peers, identity, &ended);
    let calls = OpenCalls::default();
    let closing = CancellationToken::new();
    let serving = serve_callers(&app, &calls, http, closing.clone());
    let left = leave(&app, &calls).await;
    closing.cancel();
    match left {
        Left::Empty { limit_at } => end_connections(&app, &calls, limit_at, serving).await,
        Left::Cut => tell_cut_callers(&app).await,
    }
    ended.cancel();
    info!("ended");
    Ok(())
}

fn load_identity(settings: &EntrySettings) -> Result<Option<GroupIdentity>, RunError> {
    let Some(files) = &settings.group else {
        warn!("no group in the settings: other processes aren't asked to prove who they are");
        return Ok(None);
    };
    let loaded = GroupIdentity::load(files);
    loaded.map(Some).map_err(|error| RunError::Start {
        message: error.to_string(),
    })
}

fn serve_callers(
    app: &Arc<App>,
    calls: &OpenCalls,
    listener: TcpListener,
    closing: CancellationToken,
) -> JoinHandle<()> {
    let forced = app.shutdown.forced.clone();
    let app = Arc::clone(app);
    let calls = calls.clone();
    let handler = move |request| take_request(Arc::clone(&app), calls.clone(), request);
    tokio::spawn(mgw_serve::http::serve(listener, handler, closing, forced))
}

/// Ends what came in with the last connections. The view is kept up to date meanwhile, so that
/// requests among it still find their targets.
async fn end_connections(
    app: &Arc<App>,
    calls: &OpenCalls,
    limit_at: Millis,
    serving: JoinHandle<()>,
) {
    let ending = async {
        let _ = serving.await;
        app.runs.close();
        app.runs.wait().await;
    };
    let left = limit_at - app.clock.now();
    let ended = app
        .shutdown
        .unless_forced(timeout(left.to_duration(), ending));
    let by = match ended.await {
        Some(Ok(())) => return,
        Some(Err(_)) => AbortCause::Limit,
        None => AbortCause::SecondSignal,
    };
    report_cut(by, &list_in_flight(app), calls.count());
    app.shutdown.forced.cancel();
    tell_cut_callers(app).await;
}

/// Waits a moment until the callers of the runs that were cut off have their final answer.
async fn tell_cut_callers(app: &App) {
    app.runs.close();
    let ending = app.runs.wait();
    if timeout(CUT_NOTICE_MS.to_duration(), ending).await.is_ok() {
        sleep(FLUSH_MS.to_duration()).await;
    }
}

fn start_parts(
    app: &Arc<App>,
    peers: TcpListener,
    identity: Option<GroupIdentity>,
    ended: &CancellationToken,
) {
    let view_bytes = app.metrics.view_bytes.clone();
    let spread = Gossip {
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
        ended.clone(),
    ));
    tokio::spawn(run_gossip(spread, ended.clone()));
    tokio::spawn(follow_config(Arc::clone(app)));
    tokio::spawn(run_refresh(Arc::clone(app)));
    tokio::spawn(poll_gate(Arc::clone(app)));
}

/// Lets waiting requests start or gives them up when their time has come.
async fn poll_gate(app: Arc<App>) {
    loop {
        let now = app.clock.now();
        app.gate.lock().poll(now);
        let next = app.gate.lock().next_poll();
        let pause = next.map_or(POLL_MS, |next| (next - now).clamp(Millis(1), POLL_MS));
        tokio::select! {
            () = sleep(pause.to_duration()) => {}
            () = app.gate_changed.notified() => {}
        }
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, RunError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| RunError::Listen {
        address: address.to_string(),
        source,
    })
}
