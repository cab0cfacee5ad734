//! Fetches the routing document when a control has a newer one.

use std::net::SocketAddr;
use std::sync::Arc;

use mgw_peer::{RoutingPartRequest, RoutingPartResponse};
use mgw_routing::{AddedPart, PackedRouting, PartialRouting, RouteTable};
use mgw_serve::run_blocking;
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
/// Timeout of fetching one part of a document.
const PART_TIMEOUT_MS: Millis = Millis(800);
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
        let mut transfer = None;
        loop {
            self.changed.notified().await;
            while let Some(source) = self.find_source(&app).await {
                let RoutingSource { control, version } = source;
                match fetch(&app, control, &mut transfer).await {
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
    /// The newest version that the control holds. What it sent, which may be the document of an older
    /// version that was in transfer, is in force.
    Held(RoutingVersion),
    /// The control sent no document that can be used.
    Failed,
}

/// Fetches the document of a control part by part and puts it in force. What has arrived stays in
/// `transfer` when a call fails, so that the next fetch goes on from there.
async fn fetch(app: &App, control: SocketAddr, transfer: &mut Option<PartialRouting>) -> Fetch {
    let have = app.routing().version();
    transfer.take_if(|it| it.version() <= have);
    let started_at = app.clock.now();
    loop {
        let request = RoutingPartRequest {
            have,
            position: transfer.as_ref().map(PartialRouting::next_position),
        };
        let Some(response) = request_part(app, control, request).await else {
            return Fetch::Failed;
        };
        let Some(part) = response.part else {
            app.metrics.count_routing_fetch("nothing newer");
            return Fetch::Held(response.held);
        };
        match PartialRouting::add(transfer, &part) {
            AddedPart::Whole(packed) => {
                app.metrics.count_routing_fetch("fetched");
                let ms = (app.clock.now() - started_at).0;
                let is_set = set_routing_from(app, packed, control, ms).await;
                return if is_set {
                    Fetch::Held(response.held)
                } else {
                    Fetch::Failed
                };
            }
            AddedPart::Incomplete => {}
            AddedPart::Rejected => {
                app.metrics.count_routing_fetch("unusable part");
                let (version, held) = (part.position.version, response.held);
                warn!(%control, %version, %held, "control sent an unusable part");
                return Fetch::Failed;
            }
        }
    }
}

/// Requests one part; `None` if the control sends none.
async fn request_part(
    app: &App,
    control: SocketAddr,
    request: RoutingPartRequest,
) -> Option<RoutingPartResponse> {
    let offset_bytes = request.position.map_or(0, |it| it.offset_bytes);
    let sent_at = app.clock.now();
    let response = app
        .peers
        .call(control, PART_TIMEOUT_MS, |client, context| async move {
            client.routing_part(context, request).await
        })
        .await;
    let ms = (app.clock.now() - sent_at).0;
    match response {
        Ok(Ok(response)) => Some(response),
        Ok(Err(error)) => {
            app.metrics.count_routing_fetch("refused");
            info!(%control, %error, ms, "control refused to send the routing document");
            None
        }
        Err(failure) => {
            app.metrics.count_routing_fetch("no response");
            info!(%control, %failure, offset_bytes, ms, "fetch of the routing document failed");
            None
        }
    }
}

/// Decodes a document and puts it in force; `false` if it can't be decoded.
async fn set_routing_from(app: &App, packed: PackedRouting, control: SocketAddr, ms: u64) -> bool {
    let version = packed.version;
    let size_bytes = packed.size_bytes();
    let decode = app.adapter.decode_routing;
    let decoded = run_blocking(move || {
        let document = packed.unpack().map_err(|error| error.to_string())?;
        decode(&document.source).map(RouteTable::new)
    });
    match decoded.await {
        Ok(table) => {
            info!(%control, %version, size_bytes, ms, "routing document fetched");
            app.set_routing(table);
            true
        }
        Err(error) => {
            warn!(%control, %version, %error, "can't decode the routing document");
            false
        }
    }
}
