//! Watches one control by long polling.

use std::net::SocketAddr;
use std::sync::Arc;

use mgw_member::View;
use mgw_world::{Clock, Millis, RoutingVersion};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{PeerPool, WatchRequest};

/// How long a control may hold a poll open; its response confirms its record at least this often.
const WAIT_MS: Millis = Millis(800);
/// Time allowed for the response in addition to `WAIT_MS`.
const RESPONSE_MARGIN_MS: Millis = Millis(700);
/// Pause after a failed poll.
const RETRY_PAUSE_MS: Millis = Millis(250);

/// Callback that gets the addresses of the other controls that a control knows.
pub type ControlsCallback = Arc<dyn Fn(&[SocketAddr]) + Send + Sync>;

/// Everything that watching a control needs; shared by the watches of all controls.
#[derive(Clone)]
pub struct Watch {
    /// The view that is updated with the responses.
    pub view: Arc<Mutex<View>>,
    /// Connections to the other processes.
    pub pool: Arc<PeerPool>,
    /// The clock that the view was started with.
    pub clock: Clock,
    /// Notified when a response changed the view or the routing version.
    pub changed: Arc<Notify>,
    /// Called after each response with the other controls that the watched control knows.
    pub on_controls: ControlsCallback,
    /// Called when the watched control reports another version of the routing document.
    pub on_routing_version: Arc<dyn Fn(SocketAddr, RoutingVersion) + Send + Sync>,
}

/// Watches the control at an address until `stop` is cancelled.
pub async fn watch_control(watch: Watch, address: SocketAddr, stop: CancellationToken) {
    let mut routing = RoutingVersion(0);
    let mut was_reachable = false;
    loop {
        let polling = poll(&watch, address, &mut routing);
        let Some(is_reachable) = stop.run_until_cancelled(polling).await else {
            return;
        };
        if is_reachable != was_reachable {
            was_reachable = is_reachable;
            if is_reachable {
                info!(control = %address, "control is reachable");
            } else {
                warn!(control = %address, "control is unreachable: a watch request failed");
            }
        }
        let pausing = sleep(RETRY_PAUSE_MS.to_duration());
        if !is_reachable && stop.run_until_cancelled(pausing).await.is_none() {
            return;
        }
    }
}

/// Sends one long poll and applies its response. Returns whether the control responded.
async fn poll(watch: &Watch, address: SocketAddr, routing: &mut RoutingVersion) -> bool {
    let sent_at = watch.clock.now();
    let request = WatchRequest {
        exchange: watch.view.lock().watch_request(address),
        routing: *routing,
        wait_ms: WAIT_MS,
    };
    let response = watch
        .pool
        .call(
            address,
            WAIT_MS + RESPONSE_MARGIN_MS,
            |client, context| async move { client.watch(context, request).await },
        )
        .await;
    let Ok(Ok(response)) = response else {
        return false;
    };
    let now = watch.clock.now();
    let has_changes = response.routing != *routing
        || response
            .reply
            .deltas
            .iter()
            .any(|delta| !delta.changes.is_empty() || delta.reset);
    watch
        .view
        .lock()
        .handle_watch_reply(address, &response.reply, sent_at, now);
    (watch.on_controls)(&response.controls);
    // Lower after the control has lost its disk, or as long as it applies its log anew.
    if response.routing != *routing {
        *routing = response.routing;
        (watch.on_routing_version)(address, response.routing);
    }
    if has_changes {
        watch.changed.notify_waiters();
    }
    true
}
