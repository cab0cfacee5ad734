//! Fetches the routing document when a control holds a newer one.

use std::net::SocketAddr;
use std::sync::Arc;

use mgw_peer::RoutingQuestion;
use mgw_routing::{RouteTable, RoutingDocument};
use mgw_world::{Millis, RoutingVersion};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::{info, warn};

use super::{RoutingSource, RoutingSources};
use crate::app::App;

/// Time that a control in the same zone is waited for before the document is fetched from another
/// zone.
const SAME_ZONE_WAIT_MS: Millis = Millis(250);
/// Time within which a document must come.
const FETCH_TIMEOUT_MS: Millis = Millis(800);
/// Pause after a document couldn't be fetched.
const RETRY_PAUSE_MS: Millis = Millis(100);

/// News of the versions that controls hold.
#[derive(Debug, Clone, Default)]
pub struct RoutingUpdates {
    sources: Arc<Mutex<RoutingSources>>,
    changed: Arc<Notify>,
}

impl RoutingUpdates {
    /// Notes the version that a control holds.
    pub fn record_version(&self, control: SocketAddr, version: RoutingVersion) {
        self.sources.lock().record_version(control, version);
        self.changed.notify_one();
    }

    /// Keeps the document in force up to date, for as long as the process lives.
    pub async fn run(self, app: Arc<App>) {
        loop {
            self.changed.notified().await;
            while let Some(source) = self.find_source(&app).await {
                if !fetch(&app, source.control).await {
                    let RoutingSource { control, version } = source;
                    warn!(%control, %version, "routing document couldn't be fetched");
                    self.sources.lock().record_failure(control, app.clock.now());
                    sleep(RETRY_PAUSE_MS.to_duration()).await;
                }
            }
        }
    }

    /// Where to fetch a newer document: from a control in this zone, if one has it soon.
    async fn find_source(&self, app: &App) -> Option<RoutingSource> {
        let same_zone = same_zone_controls(app);
        let choose_source = |same_zone: &[SocketAddr]| {
            let have = app.routing().version();
            self.sources.lock().choose(have, same_zone, app.clock.now())
        };
        let from = app.clock.now();
        loop {
            let source = choose_source(&same_zone)?;
            let is_same_zone = same_zone.is_empty() || same_zone.contains(&source.control);
            if is_same_zone || app.clock.now() - from >= SAME_ZONE_WAIT_MS {
                return Some(source);
            }
            sleep(RETRY_PAUSE_MS.to_duration()).await;
        }
    }
}

fn same_zone_controls(app: &App) -> Vec<SocketAddr> {
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let same_zone = nodes.iter().filter(|node| {
        let is_control = node.info.role == mgw_member::NodeRole::Control;
        is_control && node.is_alive && node.info.place == app.settings.place
    });
    same_zone.map(|node| node.info.peer_address).collect()
}

async fn fetch(app: &App, control: SocketAddr) -> bool {
    let question = RoutingQuestion {
        have: app.routing().version(),
        confirmed: false,
    };
    let answer = app
        .peers
        .call(control, FETCH_TIMEOUT_MS, |client, context| async move {
            client.routing(context, question).await
        })
        .await;
    match answer {
        Ok(Ok(Some(document))) => set_routing_from(app, &document, control),
        Ok(Ok(None)) => true,
        Ok(Err(error)) => {
            info!(%control, %error, "control gave no routing document");
            false
        }
        Err(_) => false,
    }
}

fn set_routing_from(app: &App, document: &RoutingDocument, control: SocketAddr) -> bool {
    match (app.adapter.decode_routing)(&document.source) {
        Ok(routing) => {
            info!(%control, version = %document.version, "routing document fetched");
            app.set_routing(RouteTable::new(routing));
            true
        }
        Err(error) => {
            warn!(%control, version = %document.version, %error, "routing can't be read");
            false
        }
    }
}
