//! Start and end of a control.

use std::sync::Arc;

use mgw_peer::{
    FoundingState, Gossip, GroupIdentity, PeerPool, answer_peers, bind_peer_listener, run_gossip,
    serve_peers,
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
use crate::duties::run_duties;
use crate::founding::check_others_empty;
use crate::gateway::Gateway;
use crate::members::start_view;
use crate::metrics::Metrics;
use crate::operator::handle_request;
use crate::orders::run_orders;
use crate::peers::PeerServer;
use crate::replica::{ReplicaActor, ReplicaHandle, ReplicaMessage, ReplicaStart, SharedState};
use crate::replica::{Senders, start_state};
use crate::settings::ControlSettings;
use crate::watches::watch_controls;

/// Number of the disks of controls that found a group together, so that each of them knows the
/// identity of the others; all other disks draw theirs at random.
const FOUNDING_DISK: u64 = 0;
/// Time between two ticks of the replica.
const TICK_MS: Millis = Millis(25);
/// Longest time that the hand-over of leadership may take.
const HAND_OVER_LIMIT_MS: Millis = Millis(3_000);
/// Pause between two looks at the hand-over.
const HAND_OVER_PAUSE_MS: Millis = Millis(20);

/// Why a control can't run.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum RunError {
    /// can't listen at {address}: {source}
    Listen {
        /// The address.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// can't use the data folder: {message}
    Data {
        /// What is wrong.
        message: String,
    },
    /// {replica} holds a log already; start without --found to join its group
    Founded {
        /// The replica.
        replica: String,
    },
    /// can't start: {message}
    Start {
        /// What is wrong.
        message: String,
    },
}

/// What a control does when its data folder is empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Founding {
    /// It asks the others to join.
    Join,
    /// It founds a group of which it is the only voter, unless another control holds a log.
    Alone,
    /// It founds a group together with the controls of these names, each of which is told the same
    /// list at its first start, and only then.
    With(Vec<String>),
}

/// A control that runs.
pub struct Control {
    app: Arc<App>,
    parts: Vec<JoinHandle<()>>,
    serving_peers: JoinHandle<()>,
    ended: CancellationToken,
}

impl Control {
    /// What adapters call.
    #[must_use]
    pub fn gateway(&self) -> Gateway {
        Gateway::new(Arc::clone(&self.app))
    }

    /// Tokens that end the process.
    #[must_use]
    pub fn shutdown(&self) -> Shutdown {
        self.app.shutdown.clone()
    }

    /// Waits until the control is asked to end, hands leadership over and ends.
    pub async fn run_until_ended(self) {
        let app = self.app;
        app.shutdown.graceful.cancelled().await;
        info!("ending; handing leadership over first");
        app.shutdown.unless_forced(hand_over(&app.replica)).await;
        for part in self.parts {
            app.shutdown.unless_forced(part).await;
        }
        self.ended.cancel();
        let _ = self.serving_peers.await;
        info!("ended");
    }
}

/// Runs a control until it is asked to end.
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
        control.run_until_ended().await;
    }
    Ok(())
}

/// Starts a control; none when it was asked to end before.
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
    let (mut storage, mut recovered) = open_storage(&settings, &founding)?;
    let identity = load_identity(&settings)?;
    let pool = Arc::new(PeerPool::new(identity.clone()));
    let ended = CancellationToken::new();
    let server = PeerServer {
        app: Arc::new(OnceCell::new()),
        founding: FoundingState {
            replica: storage.id().clone(),
            // Of two controls that found at the same time, neither may count the other as empty.
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
    let serving_peers = tokio::spawn(serve_peers(
        peers,
        identity,
        answer_peers!(server.clone()),
        ended.clone(),
    ));
    if is_empty && founding == Founding::Alone {
        let checking = check_others_empty(&settings, &pool);
        match shutdown.graceful.run_until_cancelled(checking).await {
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
    let parts = start_parts(&app, http, &ended);
    Ok(Some(Control {
        app,
        parts,
        serving_peers,
        ended,
    }))
}

/// The voters that an empty data folder founds a group with, if it founds one.
fn list_founders(founding: &Founding, own: &ReplicaId) -> Option<Vec<ReplicaId>> {
    match founding {
        Founding::Join => None,
        Founding::Alone => Some(vec![own.clone()]),
        Founding::With(names) => {
            let is_founder = names.contains(&own.name) && own.disk == FOUNDING_DISK;
            let voters = names.iter().map(|name| ReplicaId::new(name, FOUNDING_DISK));
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
    let others = settings
        .controls
        .iter()
        .filter(|peer| peer.name != settings.name);
    let addresses = others.map(|peer| (peer.name.to_string(), peer.address));
    let senders = Senders::start(&pool, addresses);
    let replica = Replica::new(
        id,
        settings.quorum.to_settings(),
        recovered,
        clock.now(),
        seed,
    );
    let (config_sender, config_version) = watch::channel(0);
    let state: SharedState = start_state();
    let start = ReplicaStart {
        replica,
        storage,
        clock: clock.clone(),
        senders,
        state: Arc::clone(&state),
        config_version: config_sender,
        snapshot_entries: settings.quorum.snapshot_entries,
    };
    let (actor, _running) = Actor::spawn(None, ReplicaActor, start)
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
        view: start_view(&settings, seed, clock.now()),
        controls: Mutex::default(),
        uses: Mutex::default(),
        news: Notify::new(),
        metrics: Metrics::new().map_err(|error| start_error(&error))?,
        settings,
        clock,
        shutdown,
        pool,
    }))
}

fn start_parts(
    app: &Arc<App>,
    http: TcpListener,
    ended: &CancellationToken,
) -> Vec<JoinHandle<()>> {
    let for_requests = Arc::clone(app);
    let handler = move |request| handle_request(Arc::clone(&for_requests), request);
    let shutdown = app.shutdown.clone();
    let serving = mgw_serve::http::serve(http, handler, shutdown.graceful, shutdown.forced);
    let view_bytes = app.metrics.view_bytes.clone();
    let spread = Gossip {
        view: Arc::clone(&app.view),
        pool: Arc::clone(&app.pool),
        clock: app.clock.clone(),
        count_bytes: Arc::new(move |bytes| view_bytes.inc_by(bytes)),
    };
    tokio::spawn(run_gossip(spread, ended.clone()));
    tokio::spawn(watch_controls(Arc::clone(app), ended.clone()));
    vec![
        tokio::spawn(serving),
        tokio::spawn(run_duties(Arc::clone(app))),
        tokio::spawn(run_orders(Arc::clone(app))),
    ]
}

async fn tick(actor: ActorRef<ReplicaMessage>) {
    while actor.cast(ReplicaMessage::Tick).is_ok() {
        sleep(TICK_MS.to_duration()).await;
    }
}

/// Hands leadership over and waits until another control leads.
async fn hand_over(replica: &ReplicaHandle) {
    let _ = replica.actor.cast(ReplicaMessage::HandOver);
    let mut waited = Millis::ZERO;
    while waited < HAND_OVER_LIMIT_MS {
        let Some(report) = replica.describe().await else {
            return;
        };
        let leads = report.role == mgw_quorum::Role::Leader;
        if !leads || report.membership.voters.len() == 1 {
            return;
        }
        sleep(HAND_OVER_PAUSE_MS.to_duration()).await;
        waited += HAND_OVER_PAUSE_MS;
    }
    warn!("no other control took leadership over in time");
}

fn load_identity(settings: &ControlSettings) -> Result<Option<GroupIdentity>, RunError> {
    let Some(files) = &settings.group else {
        warn!("no group in the settings: other processes aren't asked to prove who they are");
        return Ok(None);
    };
    GroupIdentity::load(files)
        .map(Some)
        .map_err(|error| start_error(&error))
}

fn open_storage(
    settings: &ControlSettings,
    founding: &Founding,
) -> Result<(Storage, RecoveredState), RunError> {
    let hook = Box::new(|_| Ok(()));
    let disk = match founding {
        Founding::With(names) if names.iter().any(|name| name == settings.name.as_str()) => {
            FOUNDING_DISK
        }
        _ => rand::random::<u64>().max(FOUNDING_DISK + 1),
    };
    let opened = Storage::open(&settings.data, settings.name.as_str(), disk, hook);
    let (storage, recovered) = opened.map_err(|error| data_error(&error))?;
    if let Some(damage) = &recovered.damage {
        tracing::error!(%damage, "the data folder is damaged; this control doesn't vote");
    }
    Ok((storage, recovered))
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
