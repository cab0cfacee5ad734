//! Start and shutdown of a stand-in.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use mgw_serve::Shutdown;
use mgw_serve::http::serve;
use mgw_world::Millis;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::announce::announce_forever;
use crate::context::StandinContext;
use crate::engine::EngineServer;
use crate::journal::Journal;
use crate::plain::PlainServer;
use crate::settings::{Role, SettingError, Settings, find_setting_errors};
use crate::standin::{RoleHandler, Standin};
use crate::weights::WeightStore;

/// Interval between checks whether a leaving stand-in has finished its work.
const LEAVE_CHECK_MS: Millis = Millis(50);
/// Time without work after which a leaving stand-in ends. It gives the entries time to receive the
/// announcement of the leaving.
const LEAVE_IDLE_MS: Millis = Millis(1000);

/// Reason why a stand-in can't start.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum StartError {
    /// invalid settings: {all}
    Settings {
        /// All setting errors, separated by `; `.
        all: String,
    },
    /// can't open the journal {path}: {source}; name a file in a folder that exists
    Journal {
        /// Path of the journal file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// can't listen at {address}: {source}; name a free address of this machine
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// A stand-in that listens for calls.
#[derive(Debug)]
pub struct RunningStandin {
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    /// The stand-in.
    pub standin: Arc<Standin>,
    shutdown: Shutdown,
    server: tokio::task::JoinHandle<()>,
    leave_limit_ms: Millis,
}

/// Starts a stand-in in the current Tokio runtime.
///
/// # Errors
/// When the settings are invalid, the journal can't be opened or the address can't be bound.
pub async fn start(settings: Settings) -> Result<RunningStandin, StartError> {
    check_settings(&settings)?;
    let context = Arc::new(StandinContext::new(
        settings.name.clone(),
        settings.faults,
        open_journal(&settings)?,
    ));
    let listener = TcpListener::bind(settings.listen).await;
    let listener = listener.map_err(|source| StartError::Listen {
        address: settings.listen,
        source,
    })?;
    let address = listener.local_addr().unwrap_or(settings.listen);
    let role_handler = build_role_handler(&settings, &context)?;
    let standin = Arc::new(Standin::new(context, role_handler));
    let shutdown = Shutdown::default();
    let handler = {
        let standin = Arc::clone(&standin);
        move |request| Arc::clone(&standin).handle(request)
    };
    let server = tokio::spawn(serve(
        listener,
        handler,
        shutdown.graceful.clone(),
        shutdown.forced.clone(),
    ));
    tracing::info!(
        role = %settings.role,
        name = %settings.name,
        %address,
        place = %settings.place,
        "stand-in started"
    );
    let leave_limit_ms = settings.leave_limit_ms;
    tokio::spawn(announce_forever(Arc::clone(&standin), settings, address));
    Ok(RunningStandin {
        address,
        standin,
        shutdown,
        server,
        leave_limit_ms,
    })
}

impl RunningStandin {
    /// Waits until `shutdown_requested` is cancelled, then leaves: stops the server once the work
    /// is done or `leave_limit_ms` has passed.
    pub async fn run_until(self, shutdown_requested: CancellationToken) {
        shutdown_requested.cancelled().await;
        self.standin.leave();
        let limit = self.leave_limit_ms.to_duration();
        let idle = wait_until_idle(&self.standin);
        if tokio::time::timeout(limit, idle).await.is_err() {
            tracing::warn!("leave_limit_ms has passed; stopping with work still in progress");
        }
        self.shutdown.graceful.cancel();
        self.shutdown.forced.cancel();
        let _ = self.server.await;
    }
}

async fn wait_until_idle(standin: &Standin) {
    let mut idle_ms = Millis::ZERO;
    while idle_ms < LEAVE_IDLE_MS {
        tokio::time::sleep(LEAVE_CHECK_MS.to_duration()).await;
        if standin.is_busy() {
            idle_ms = Millis::ZERO;
        } else {
            idle_ms += LEAVE_CHECK_MS;
        }
    }
}

fn check_settings(settings: &Settings) -> Result<(), StartError> {
    let errors = find_setting_errors(settings);
    if errors.is_empty() {
        return Ok(());
    }
    let all: Vec<String> = errors.iter().map(SettingError::to_string).collect();
    Err(StartError::Settings {
        all: all.join("; "),
    })
}

fn open_journal(settings: &Settings) -> Result<Journal, StartError> {
    let Some(path) = &settings.journal else {
        return Ok(Journal::in_memory());
    };
    Journal::open(path).map_err(|source| StartError::Journal {
        path: path.clone(),
        source,
    })
}

fn build_role_handler(
    settings: &Settings,
    context: &Arc<StandinContext>,
) -> Result<RoleHandler, StartError> {
    let context = Arc::clone(context);
    match settings.role {
        Role::Engine => {
            let engine = settings.engine.clone();
            let layers = engine
                .initial_layers()
                .ok_or_else(|| StartError::Settings {
                    all: "engine.layers: name at least one layer".to_owned(),
                })?;
            Ok(RoleHandler::Engine(EngineServer::start(
                context, engine, layers,
            )))
        }
        Role::Plain => {
            let plain = PlainServer::new(context, settings.plain.clone());
            Ok(RoleHandler::Plain(Arc::new(plain)))
        }
        Role::Weights => Ok(RoleHandler::Weights(WeightStore::new(
            settings.weights.clone(),
        ))),
    }
}
