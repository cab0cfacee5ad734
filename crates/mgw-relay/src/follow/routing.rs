//! Fetches the routing document when a control holds a newer one.

use std::net::SocketAddr;
use std::sync::Arc;

use mgw_peer::RoutingRequest;
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
const NEAR_WAIT_MS: Millis = Millis(250);
/// Time within which a document must come.
const FETCH_LIMIT_MS: Millis = Millis(800);
/// Pause after a document couldn't be fetched.
const RETRY_MS: Millis = Millis(100);

/// News of the versions that controls hold.
#[derive(Debug, Clone, Default)]
pub struct RoutingNews {
    sources: Arc<Mutex<RoutingSources>>,
    told: Arc<Notify>,
}

impl RoutingNews {
    /// Notes the version that a control holds.
    pub fn hear(&self, control: SocketAddr, version: RoutingVersion) {
        self.sources.lock().hear(control, version);
        self.told.notify_one();
    }

    /// Keeps the document in force up to date, for as long as the process lives.
    pub async fn follow(self, app: Arc<App>) {
        loop {
            self.told.notified().await;
            while let Some(source) = self.find_source(&app).await {
                if !fetch(&app, source.control).await {
                    let RoutingSource { control, version } = source;
                    warn!(%control, %version, "routing document couldn't be fetched");
                    self.sources.lock().note_failure(control, app.clock.now());
                    sleep(RETRY_MS.to_duration()).await;
                }
            }
        }
    }

    /// Where to fetch a newer document: from a control in this zone, if one has it soon.
    async fn find_source(&self, app: &App) -> Option<RoutingSource> {
        let near = near_controls(app);
        let find = |near: &[SocketAddr]| {
            let have = app.routing().version();
            self.sources.lock().choose(have, near, app.clock.now())
        };
        let from = app.clock.now();
        loop {
            let source = find(&near)?;
            let is_near = near.is_empty() || near.contains(&source.control);
            if is_near || app.clock.now() - from >= NEAR_WAIT_MS {
                return Some(source);
            }
            sleep(RETRY_MS.to_duration()).await;
        }
    }
}

fn near_controls(app: &App) -> Vec<SocketAddr> {
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let near = nodes.iter().filter(|node| {
        let is_control = node.info.role == mgw_member::NodeRole::Control;
        is_control && node.is_alive && node.info.place == app.settings.place
    });
    near.map(|node| node.info.peer_address).collect()
}

async fn fetch(app: &App, control: SocketAddr) -> bool {
    let question = RoutingRequest {
        have: app.routing().version(),
        confirmed: false,
    };
    let answer = app
        .peers
        .call(control, FETCH_LIMIT_MS, |client, context| async move {
            client.routing(context, question).await
        })
        .await;
    match answer {
        Ok(Ok(Some(document))) => put_in_force(app, &document, control),
        Ok(Ok(None)) => true,
        Ok(Err(error)) => {
            info!(%control, %error, "control gave no routing document");
            false
        }
        Err(_) => false,
    }
}

fn put_in_force(app: &App, document: &RoutingDocument, control: SocketAddr) -> bool {
    match (app.calls.decode_routing)(&document.source) {
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
