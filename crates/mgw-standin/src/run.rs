//! Start and end of a stand-in's process.

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

/// Interval between looks whether a leaving stand-in has ended its work.
const LEAVE_CHECK_MS: Millis = Millis(50);
/// Time without work after which a leaving stand-in ends; entries learn of the leaving meanwhile.
const LEAVE_QUIET_MS: Millis = Millis(1000);

/// A stand-in can't start.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum StartError {
    /// the settings don't fit: {all}
    Settings {
        /// All faults, in words.
        all: String,
    },
    /// can't open the journal {path}: {source}; name a file in a folder that exists
    Journal {
        /// File.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// can't listen at {address}: {source}; name a free address of this machine
    Listen {
        /// Address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// A stand-in that takes calls.
#[derive(Debug)]
pub struct RunningStandin {
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The stand-in.
    pub standin: Arc<Standin>,
    shutdown: Shutdown,
    server: tokio::task::JoinHandle<()>,
    leave_limit_ms: Millis,
}

/// Starts a stand-in within the present runtime.
///
/// # Errors
/// When its settings don't fit, or its journal or address can't be had.
pub async fn start(settings: Settings) -> Result<RunningStandin, StartError> {
    check(&settings)?;
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
    /// Waits until `asked` is cancelled, then leaves: ends once the work is done or the limit for
    /// leaving is reached.
    pub async fn run_until(self, asked: CancellationToken) {
        asked.cancelled().await;
        self.standin.leave();
        let limit = self.leave_limit_ms.to_duration();
        let quiet = wait_until_quiet(&self.standin);
        if tokio::time::timeout(limit, quiet).await.is_err() {
            tracing::warn!("work is left at the limit for leaving");
        }
        self.shutdown.graceful.cancel();
        self.shutdown.forced.cancel();
        let _ = self.server.await;
    }
}

async fn wait_until_quiet(standin: &Standin) {
    let mut quiet_ms = Millis::ZERO;
    while quiet_ms < LEAVE_QUIET_MS {
        tokio::time::sleep(LEAVE_CHECK_MS.to_duration()).await;
        if standin.is_busy() {
            quiet_ms = Millis::ZERO;
        } else {
            quiet_ms += LEAVE_CHECK_MS;
        }
    }
}

fn check(settings: &Settings) -> Result<(), StartError> {
    let faults = find_setting_errors(settings);
    if faults.is_empty() {
        return Ok(());
    }
    let all: Vec<String> = faults.iter().map(SettingError::to_string).collect();
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
            let layers = engine.held_layers().ok_or_else(|| StartError::Settings {
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
