//! Starts a relay with its background tasks and ends it.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::Response;
use mgw_member::{NodeInfo, NodePhase, NodeRole, View};
use mgw_peer::{
    Gossip, ViewServer, bind_peer_listener, channel_handler, run_gossip, serve_peers_and_tunnels,
};
use mgw_serve::http::Body;
use mgw_serve::{Shutdown, render_metrics};
use mgw_world::{Clock, Incarnation, Revision};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::app::App;
use crate::callers::{CallerConnections, serve_callers};
use crate::dialect::RelayAdapter;
use crate::drain::drain;
use crate::follow::{ReloadControls, follow_controls, run_load_exchange, run_view_sync};
use crate::links::{run_link_checks, tunnel_handler};
use crate::settings::RelaySettings;
use crate::targets::{Dial, dial_tcp};

/// Why a relay couldn't start.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum RunError {
    /// can't listen at {address}: {source}
    Listen {
        /// Address to listen at.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// can't register the metrics: {source}
    Metrics {
        /// Error of the metrics library.
        source: prometheus::Error,
    },
}

/// Handle to a running relay; cheap to clone.
#[derive(Clone)]
pub struct Relay {
    app: Arc<App>,
    callers: CallerConnections,
    ended: CancellationToken,
}

impl Relay {
    /// Starts a relay.
    ///
    /// # Errors
    /// When the relay can't listen at an address or can't register its metrics.
    pub async fn start(
        settings: RelaySettings,
        adapter: RelayAdapter,
        reload_controls: ReloadControls,
        shutdown: Shutdown,
    ) -> Result<Self, RunError> {
        Self::start_with(settings, adapter, reload_controls, shutdown, dial_tcp()).await
    }

    /// Starts a relay that opens its connections to targets with `dial`.
    ///
    /// # Errors
    /// As [`Self::start`].
    pub async fn start_with(
        settings: RelaySettings,
        adapter: RelayAdapter,
        reload_controls: ReloadControls,
        shutdown: Shutdown,
        dial: Dial,
    ) -> Result<Self, RunError> {
        let clock = Clock::monotonic();
        let listener = listen(settings.listen).await?;
        let peer_address = settings.peer_listen;
        let peers = bind_peer_listener(peer_address)
            .await
            .map_err(|source| RunError::Listen {
                address: peer_address,
                source,
            })?;
        let view = start_view(&settings, &clock);
        let app = App::new(settings, adapter, shutdown, view, clock, dial);
        let app = Arc::new(app.map_err(|source| RunError::Metrics { source })?);
        let relay = Self {
            app,
            callers: CallerConnections::default(),
            ended: CancellationToken::new(),
        };
        relay.spawn_tasks(listener, peers, reload_controls);
        Ok(relay)
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.app.is_ready()
    }

    /// Renders the metrics page.
    #[must_use]
    pub fn metrics(&self) -> Response<Body> {
        render_metrics(&self.app.metrics.registry)
    }

    /// Waits until the process is asked to end, then drains its connections.
    pub async fn run_until_ended(self) {
        self.app.shutdown.graceful.cancelled().await;
        self.app
            .shutdown
            .unless_forced(drain(&self.app, &self.callers))
            .await;
        self.ended.cancel();
        info!("relay stopped");
    }

    /// Starts the servers and background tasks.
    fn spawn_tasks(
        &self,
        listener: TcpListener,
        peers: TcpListener,
        reload_controls: ReloadControls,
    ) {
        let app = &self.app;
        let updates = app.routing_updates.clone();
        let server = ViewServer {
            view: Arc::clone(&app.view),
            clock: app.clock.clone(),
        };
        let gossip = Gossip {
            view: Arc::clone(&app.view),
            pool: Arc::clone(&app.peers),
            clock: app.clock.clone(),
            count_bytes: Arc::new(|_| {}),
        };
        let ended = &self.ended;
        tokio::spawn(serve_peers_and_tunnels(
            peers,
            None,
            channel_handler!(server),
            Some(tunnel_handler(app, &self.callers.tasks)),
            ended.clone(),
        ));
        tokio::spawn(run_link_checks(Arc::clone(app), ended.clone()));
        tokio::spawn(run_gossip(gossip, ended.clone()));
        tokio::spawn(updates.clone().run(Arc::clone(app)));
        tokio::spawn(follow_controls(
            Arc::clone(app),
            updates,
            reload_controls,
            ended.clone(),
        ));
        tokio::spawn(run_load_exchange(Arc::clone(app), ended.clone()));
        tokio::spawn(run_view_sync(Arc::clone(app), ended.clone()));
        let callers = self.callers.clone();
        tokio::spawn(serve_callers(Arc::clone(app), listener, callers));
    }
}

fn start_view(settings: &RelaySettings, clock: &Clock) -> Arc<Mutex<View>> {
    let own_info = NodeInfo {
        name: settings.name.clone(),
        role: NodeRole::Entry,
        place: settings.place.clone(),
        incarnation: Incarnation(Clock::wall().0),
        peer_address: settings.peer_listen,
        url: settings.listen.to_string(),
        weight: 1,
        phase: NodePhase::Starting,
        revision: Revision(0),
    };
    let seed = rand::random();
    let members = settings.members.clone();
    let view = View::new(members, own_info, &settings.controls, seed, clock.now());
    Arc::new(Mutex::new(view))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| RunError::Listen { address, source })
}
