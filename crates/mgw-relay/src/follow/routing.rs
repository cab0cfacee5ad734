//! Fetches the routing document when a control has a newer one.

use std::net::SocketAddr;
use std::sync::Arc;

use mgw_peer::RoutingRequest;
use mgw_routing::{PackedRouting, RouteTable};
use mgw_world::{Millis, RoutingVersion};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::{info, warn};

use super::{RoutingSource, RoutingSources};
use crate::app::App;

/// How long to wait for a control in the same zone to get a new document before it is fetched from
/// another zone.
const SAME_ZONE_WAIT_MS: Millis = Millis(250);
/// Timeout of fetching a document.
const FETCH_TIMEOUT_MS: Millis = Millis(800);
/// Pause between two attempts to find a source or to fetch a document.
const RETRY_PAUSE_MS: Millis = Millis(100);

/// The versions of the routing document that controls have, and a notification for each change.
#[derive(Debug, Clone, Default)]
pub struct RoutingUpdates {
    sources: Arc<Mutex<RoutingSources>>,
    changed: Arc<Notify>,
}

impl RoutingUpdates {
    /// Highest version that any control has.
    #[must_use]
    pub fn newest_version(&self) -> RoutingVersion {
        self.sources.lock().newest_version()
    }

    /// Records the version that a control has.
    pub fn record_version(&self, control: SocketAddr, version: RoutingVersion) {
        self.sources.lock().record_version(control, version);
        self.changed.notify_one();
    }

    /// Keeps the document in force up to date until the process ends.
    pub async fn run(self, app: Arc<App>) {
        loop {
            self.changed.notified().await;
            while let Some(source) = self.find_source(&app).await {
                let RoutingSource { control, version } = source;
                match fetch(&app, control).await {
                    Fetch::Held(held) if held < version => {
                        info!(%control, %version, %held, "control doesn't have the version that it reported");
                        self.sources.lock().correct_version(source, held);
                    }
                    Fetch::Held(_) => {}
                    Fetch::Failed => {
                        warn!(%control, %version, "can't fetch a newer routing document");
                        self.sources.lock().record_failure(control, app.clock.now());
                        sleep(RETRY_PAUSE_MS.to_duration()).await;
                    }
                }
            }
        }
    }

    /// The control to fetch a newer document from: one in this zone, if one gets it in time.
    async fn find_source(&self, app: &App) -> Option<RoutingSource> {
        let same_zone = same_zone_controls(app);
        let choose_source = |same_zone: &[SocketAddr]| {
            let current = app.routing().version();
            self.sources
                .lock()
                .choose(current, same_zone, app.clock.now())
        };
        let started_at = app.clock.now();
        loop {
            let source = choose_source(&same_zone)?;
            let is_same_zone = same_zone.is_empty() || same_zone.contains(&source.control);
            if is_same_zone || app.clock.now() - started_at >= SAME_ZONE_WAIT_MS {
                return Some(source);
            }
            sleep(RETRY_PAUSE_MS.to_duration()).await;
        }
    }
}

/// Addresses of the controls in this zone that are alive.
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

/// Result of a fetch.
enum Fetch {
    /// The control holds this version. It is in force now, unless an equal or newer one was before.
    Held(RoutingVersion),
    /// The control sent no document that can be used.
    Failed,
}

/// Fetches the document of a control and puts it in force if it is newer.
async fn fetch(app: &App, control: SocketAddr) -> Fetch {
    let have = app.routing().version();
    let request = RoutingRequest {
        have,
        confirmed: false,
    };
    let started_at = app.clock.now();
    let response = app
        .peers
        .call(control, FETCH_TIMEOUT_MS, |client, context| async move {
            client.routing(context, request).await
        })
        .await;
    let ms = (app.clock.now() - started_at).0;
    match response {
        Ok(Ok(Some(packed))) => {
            app.metrics.count_routing_fetch("fetched");
            set_routing_from(app, &packed, control, ms)
        }
        Ok(Ok(None)) => {
            app.metrics.count_routing_fetch("nothing newer");
            Fetch::Held(have)
        }
        Ok(Err(error)) => {
            app.metrics.count_routing_fetch("refused");
            info!(%control, %error, ms, "control refused to send the routing document");
            Fetch::Failed
        }
        Err(failure) => {
            app.metrics.count_routing_fetch("no response");
            info!(%control, %failure, ms, "fetch of the routing document failed");
            Fetch::Failed
        }
    }
}

fn set_routing_from(app: &App, packed: &PackedRouting, control: SocketAddr, ms: u64) -> Fetch {
    let unpacked = packed.unpack().map_err(|error| error.to_string());
    let decode = app.adapter.decode_routing;
    match unpacked.and_then(|document| decode(&document.source)) {
        Ok(routing) => {
            let size_bytes = packed.size_bytes();
            info!(%control, version = %packed.version, size_bytes, ms, "routing document fetched");
            app.set_routing(RouteTable::new(routing));
            Fetch::Held(packed.version)
        }
        Err(error) => {
            warn!(
                %control,
                version = %packed.version,
                %error,
                "can't decode the routing document"
            );
            Fetch::Failed
        }
    }
}
