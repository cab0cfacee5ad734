//! Start and graceful shutdown of a control.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use mgw_peer::{
    FoundingState, Gossip, GroupIdentity, PeerPool, bind_peer_listener, channel_handler,
    run_gossip, serve_peers,
};
use mgw_quorum::{RecoveredState, Replica, ReplicaId, Storage};
use mgw_serve::Shutdown;
use mgw_world::{Clock, Millis};
use parking_lot::Mutex;
use ractor::{Actor, ActorRef};
use tokio::net::TcpListener;
use tokio::sync::{Notify, OnceCell, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::app::App;
use crate::data_folder::{FOUNDING_DISK_ID, open_data_folder};
use crate::founding::check_other_logs_empty;
use crate::group::leave_group;
use crate::handle::ControlHandle;
use crate::leaving_targets::follow_leaving_targets;
use crate::maintenance::run_maintenance;
use crate::metrics::Metrics;
use crate::operator::handle_request;
use crate::orders::run_orders;
use crate::peers::PeerServer;
use crate::replica::{ReplicaActor, ReplicaActorArgs, ReplicaHandle, ReplicaMessage, SharedState};
use crate::replica::{Senders, empty_state};
use crate::settings::ControlSettings;
use crate::view::create_view;
use crate::watches::watch_controls;

/// Interval of the replica's ticks.
const TICK_INTERVAL_MS: Millis = Millis(25);
/// Longest time that a shutdown waits for another control to become the leader.
const TRANSFER_TIMEOUT_MS: Millis = Millis(3_000);
/// Interval at which a shutdown polls whether leadership was transferred.
const TRANSFER_POLL_INTERVAL_MS: Millis = Millis(20);

/// Why a control can't start.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum RunError {
    /// can't listen at {address}: {source}
    Listen {
        /// Address that couldn't be bound.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// can't use the data folder: {message}
    Data {
        /// Error of the storage.
        message: String,
    },
    /// {replica} already has a log; start without --found to join its group
    Founded {
        /// Identity of the replica that has a log.
        replica: String,
    },
    /// can't start: {message}
    Start {
        /// Error of the step that failed.
        message: String,
    },
}

/// How a control with an empty data folder becomes a member of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Founding {
    /// It asks the other controls to be added to their group.
    Join,
    /// It founds a group of which it is the only voter, unless another control already has a log.
    Alone,
    /// It founds a group together with the controls of these names. Each of them must get the same
    /// list at its first start, and at no later start.
    With(Vec<String>),
}

/// A control that runs in this process.
pub struct Control {
    app: Arc<App>,
    tasks: Vec<JoinHandle<()>>,
    peer_server: JoinHandle<()>,
    stop: CancellationToken,
}

impl Control {
    /// Handle through which adapters call this control.
    #[must_use]
    pub fn handle(&self) -> ControlHandle {
        ControlHandle::new(Arc::clone(&self.app))
    }

    /// Cancellation tokens that stop the control, gracefully or at once.
    #[must_use]
    pub fn shutdown(&self) -> Shutdown {
        self.app.shutdown.clone()
    }

    /// Waits for the request to shut down, transfers leadership, and stops all tasks.
    pub async fn run_until_ended(self) {
        let app = self.app;
        app.shutdown.graceful.cancelled().await;
        info!("shutting down: transferring leadership and leaving the group first");
        app.shutdown
            .unless_forced(transfer_leadership(&app.replica))
            .await;
        app.shutdown
            .unless_forced(Box::pin(leave_group(&app)))
            .await;
        for task in self.tasks {
            app.shutdown.unless_forced(task).await;
        }
        self.stop.cancel();
        let _ = self.peer_server.await;
        info!("control stopped");
    }
}

/// Runs a control until it is asked to shut down.
///
/// # Errors
/// When an address, the data folder or the group can't be used.
pub async fn run_control(settings: ControlSettings, found: bool) -> Result<(), RunError> {
    let shutdown = Shutdown::listen().map_err(|error| start_error(&error))?;
    let founding = if found {
        Founding::Alone
    } else {
        Founding::Join
    };
    if let Some(control) = start_control(settings, founding, shutdown).await? {
        Box::pin(control.run_until_ended()).await;
    }
    Ok(())
}

/// Starts a control; none when it was asked to shut down before it had started.
///
/// # Errors
/// When an address, the data folder or the group can't be used.
pub async fn start_control(
    settings: ControlSettings,
    founding: Founding,
    shutdown: Shutdown,
) -> Result<Option<Control>, RunError> {
    let http = listen(settings.listen).await?;
    let peers = listen_peers(settings.peer_listen).await?;
    let opening = open_data_folder(&settings, &founding);
    let opened = match shutdown.graceful.run_until_cancelled(opening).await {
        None => return Ok(None),
        Some(opened) => opened.map_err(|error| data_error(&error))?,
    };
    let (mut storage, mut recovered) = opened;
    let identity = load_identity(&settings)?;
    let pool = Arc::new(PeerPool::new(identity.clone()));
    let stop = CancellationToken::new();
    let server = PeerServer {
        app: Arc::new(OnceCell::new()),
        founding: FoundingState {
            replica: storage.id().clone(),
            // If two controls found at the same time, neither may take the other for empty.
            is_empty: recovered == RecoveredState::default() && founding == Founding::Join,
        },
    };
    let is_empty = recovered == RecoveredState::default();
    info!(
        role = "control",
        name = %settings.name,
        vm = %settings.vm,
        place = %settings.place,
        region = %settings.region,
        listen = %settings.listen,
        peer_listen = %settings.peer_listen,
        replica = %storage.id(),
        "starting"
    );
    let peer_server = tokio::spawn(serve_peers(
        peers,
        identity,
        channel_handler!(server.clone()),
        stop.clone(),
    ));
    if is_empty && founding == Founding::Alone {
        let checked = check_other_logs_empty(&settings, &pool);
        match shutdown.graceful.run_until_cancelled(checked).await {
            None => return Ok(None),
            Some(Err(replica)) => return Err(RunError::Founded { replica }),
            Some(Ok(())) => {}
        }
    }
    if let Some(voters) = list_founders(&founding, storage.id()).filter(|_| is_empty) {
        recovered = storage
            .found_cluster_with(voters)
            .map_err(|error| data_error(&error))?;
    }
    let app = start_app(settings, shutdown, pool, storage, recovered).await?;
    let _ = server.app.set(Arc::clone(&app));
    let tasks = start_tasks(&app, http, &stop);
    Ok(Some(Control {
        app,
        tasks,
        peer_server,
        stop,
    }))
}

/// The voters of the group that a control with an empty data folder founds; none when it joins one.
fn list_founders(founding: &Founding, own: &ReplicaId) -> Option<Vec<ReplicaId>> {
    match founding {
        Founding::Join => None,
        Founding::Alone => Some(vec![own.clone()]),
        Founding::With(names) => {
            let is_founder = names.contains(&own.name) && own.disk == FOUNDING_DISK_ID;
            let voters = names
                .iter()
                .map(|name| ReplicaId::new(name, FOUNDING_DISK_ID));
            is_founder.then(|| voters.collect())
        }
    }
}

async fn start_app(
    settings: ControlSettings,
    shutdown: Shutdown,
    pool: Arc<PeerPool>,
    storage: Storage,
    recovered: RecoveredState,
) -> Result<Arc<App>, RunError> {
    let clock = Clock::monotonic();
    let id: ReplicaId = storage.id().clone();
    let seed = rand::random();
    let other_controls = settings
        .controls
        .iter()
        .filter(|peer| peer.name != settings.name);
    let addresses = other_controls.map(|peer| (peer.name.to_string(), peer.address));
    let metrics = Metrics::new().map_err(|error| start_error(&error))?;
    let senders = Senders::start(&pool, &clock, &metrics.failed_deliveries, addresses);
    let replica = Replica::new(
        id,
        settings.quorum.to_settings(),
        recovered,
        clock.now(),
        seed,
    );
    let (config_sender, config_version) = watch::channel(0);
    let state: SharedState = empty_state();
    let start = ReplicaActorArgs {
        replica,
        storage,
        clock: clock.clone(),
        senders,
        state: Arc::clone(&state),
        config_version: config_sender,
        snapshot_entries: settings.quorum.snapshot_entries,
    };
    let (actor, _join_handle) = Actor::spawn(None, ReplicaActor, start)
        .await
        .map_err(|error| start_error(&error))?;
    tokio::spawn(tick(actor.clone()));
    let commit_limit_ms = settings.quorum.commit_limit_ms;
    Ok(Arc::new(App {
        replica: ReplicaHandle {
            actor,
            state,
            config_version,
            commit_limit_ms,
        },
        view: create_view(&settings, seed, clock.now()),
        other_controls: Mutex::default(),
        entry_loads: Mutex::default(),
        rate_limits: Mutex::default(),
        entries_in_view: AtomicU32::default(),
        quarantine: Mutex::default(),
        quarantining: Mutex::default(),
        transferable: Mutex::default(),
        view_changed: Notify::new(),
        metrics,
        settings,
        clock,
        shutdown,
        pool,
    }))
}

fn start_tasks(app: &Arc<App>, http: TcpListener, stop: &CancellationToken) -> Vec<JoinHandle<()>> {
    let app_for_requests = Arc::clone(app);
    let handler = move |request| handle_request(Arc::clone(&app_for_requests), request);
    let shutdown = app.shutdown.clone();
    let http_server = mgw_serve::http::serve(http, handler, shutdown.graceful, shutdown.forced);
    let view_bytes = app.metrics.view_bytes.clone();
    let gossip = Gossip {
        view: Arc::clone(&app.view),
        pool: Arc::clone(&app.pool),
        clock: app.clock.clone(),
        count_bytes: Arc::new(move |bytes| view_bytes.inc_by(bytes)),
    };
    tokio::spawn(run_gossip(gossip, stop.clone()));
    tokio::spawn(watch_controls(Arc::clone(app), stop.clone()));
    tokio::spawn(follow_leaving_targets(Arc::clone(app), stop.clone()));
    vec![
        tokio::spawn(http_server),
        tokio::spawn(run_maintenance(Arc::clone(app))),
        tokio::spawn(run_orders(Arc::clone(app))),
    ]
}

async fn tick(actor: ActorRef<ReplicaMessage>) {
    while actor.cast(ReplicaMessage::Tick).is_ok() {
        sleep(TICK_INTERVAL_MS.to_duration()).await;
    }
}

/// Transfers leadership and waits until this control isn't the leader any more, or until
/// `TRANSFER_TIMEOUT_MS` is over. A group's only voter has no one to transfer it to.
async fn transfer_leadership(replica: &ReplicaHandle) {
    let _ = replica.actor.cast(ReplicaMessage::TransferLeadership);
    let mut waited = Millis::ZERO;
    while waited < TRANSFER_TIMEOUT_MS {
        let Some(report) = replica.describe().await else {
            return;
        };
        let is_leader = report.role == mgw_quorum::Role::Leader;
        if !is_leader || report.membership.voters.len() == 1 {
            return;
        }
        sleep(TRANSFER_POLL_INTERVAL_MS.to_duration()).await;
        waited += TRANSFER_POLL_INTERVAL_MS;
    }
    warn!("leadership wasn't transferred in time; stopping as the leader");
}

fn load_identity(settings: &ControlSettings) -> Result<Option<GroupIdentity>, RunError> {
    let Some(files) = &settings.group else {
        warn!("no `group` in the settings: connections from other processes aren't authenticated");
        return Ok(None);
    };
    GroupIdentity::load(files)
        .map(Some)
        .map_err(|error| start_error(&error))
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, RunError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| RunError::Listen {
        address: address.to_string(),
        source,
    })
}

async fn listen_peers(address: std::net::SocketAddr) -> Result<TcpListener, RunError> {
    let bound = bind_peer_listener(address).await;
    bound.map_err(|source| RunError::Listen {
        address: address.to_string(),
        source,
    })
}

fn data_error(error: &impl ToString) -> RunError {
    RunError::Data {
        message: error.to_string(),
    }
}

fn start_error(error: &impl ToString) -> RunError {
    RunError::Start {
        message: error.to_string(),
    }
}
