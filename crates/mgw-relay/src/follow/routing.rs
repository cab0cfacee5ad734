//! Fetches the routing document when a control holds a newer one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mgw_peer::RoutingQuestion;
use mgw_routing::{RouteTable, RoutingDocument};
use mgw_world::{Millis, RoutingVersion};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::app::App;

/// Time that a control in the same zone is waited for before the document is fetched from another
/// zone.
const NEAR_WAIT_MS: Millis = Millis(250);
/// Time within which a document must come.
const FETCH_LIMIT_MS: Millis = Millis(800);
/// Pause after a document couldn't be fetched.
const RETRY_MS: Millis = Millis(100);

/// Versions that controls hold.
#[derive(Debug, Clone, Default)]
pub struct RoutingNews {
    held: Arc<Mutex<BTreeMap<SocketAddr, RoutingVersion>>>,
    told: Arc<Notify>,
}

impl RoutingNews {
    /// Notes the version that a control holds.
    pub fn hear(&self, control: SocketAddr, version: RoutingVersion) {
        self.held.lock().insert(control, version);
        self.told.notify_one();
    }

    /// Keeps the document in force up to date, for as long as the process lives.
    pub async fn follow(self, app: Arc<App>) {
        loop {
            self.told.notified().await;
            while let Some((control, version)) = self.find_newer(&app).await {
                if !fetch(&app, control).await {
                    warn!(%control, %version, "routing document couldn't be fetched");
                    self.held.lock().remove(&control);
                    sleep(RETRY_MS.to_duration()).await;
                }
            }
        }
    }

    /// The control to fetch a newer document from: the one in this zone, if it has it soon.
    async fn find_newer(&self, app: &App) -> Option<(SocketAddr, RoutingVersion)> {
        let (control, version) = self.newest(app, false)?;
        if !has_near_control(app) {
            return Some((control, version));
        }
        let mut waited = Millis::ZERO;
        while waited < NEAR_WAIT_MS {
            if let Some(near) = self.newest(app, true).filter(|near| near.1 >= version) {
                return Some(near);
            }
            sleep((NEAR_WAIT_MS - waited).min(RETRY_MS).to_duration()).await;
            waited += RETRY_MS;
        }
        Some((control, version))
    }

    fn newest(&self, app: &App, only_near: bool) -> Option<(SocketAddr, RoutingVersion)> {
        let have = app.routing().version();
        let near = near_controls(app);
        let held = self.held.lock();
        let newer = held.iter().filter(|(_, version)| **version > have);
        let newer = newer.filter(|(control, _)| !only_near || near.contains(control));
        let best = newer.max_by_key(|(control, version)| (**version, near.contains(control)));
        best.map(|(control, version)| (*control, *version))
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

fn has_near_control(app: &App) -> bool {
    !near_controls(app).is_empty()
}

async fn fetch(app: &App, control: SocketAddr) -> bool {
    let question = RoutingQuestion {
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
