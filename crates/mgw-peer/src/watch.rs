//! Follows one control by long polls.

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

/// How long a control may wait for news; its answer confirms its record at least this often.
const WAIT_MS: Millis = Millis(800);
/// Time for the answer beyond the wait.
const ANSWER_LIMIT_MS: Millis = Millis(700);
/// Pause after a watch that failed.
const RETRY_MS: Millis = Millis(250);

/// Takes the addresses of controls that a control has named.
pub type ControlsCallback = Arc<dyn Fn(&[SocketAddr]) + Send + Sync>;

/// What following a control needs.
#[derive(Clone)]
pub struct Watch {
    /// The view that is kept up to date.
    pub view: Arc<Mutex<View>>,
    /// Connections to the other processes.
    pub pool: Arc<PeerPool>,
    /// The clock that the view was started with.
    pub clock: Clock,
    /// Notified with each piece of news.
    pub changed: Arc<Notify>,
    /// Told which other controls a control knows.
    pub on_controls: ControlsCallback,
    /// Told the version of the routing document that a control holds.
    pub on_routing_version: Arc<dyn Fn(SocketAddr, RoutingVersion) + Send + Sync>,
}

/// Follows the control at an address until the token is cancelled.
pub async fn watch_control(watch: Watch, address: SocketAddr, ended: CancellationToken) {
    let mut routing = RoutingVersion(0);
    let mut is_heard = false;
    loop {
        let asking = ask(&watch, address, &mut routing);
        let Some(heard) = ended.run_until_cancelled(asking).await else {
            return;
        };
        if heard != is_heard {
            is_heard = heard;
            if heard {
                info!(control = %address, "control answers");
            } else {
                warn!(control = %address, "control doesn't answer");
            }
        }
        let pausing = sleep(RETRY_MS.to_duration());
        if !heard && ended.run_until_cancelled(pausing).await.is_none() {
            return;
        }
    }
}

async fn ask(watch: &Watch, address: SocketAddr, routing: &mut RoutingVersion) -> bool {
    let sent_at = watch.clock.now();
    let question = WatchRequest {
        exchange: watch.view.lock().watch_request(address),
        routing: *routing,
        wait_ms: WAIT_MS,
    };
    let answer = watch
        .pool
        .call(
            address,
            WAIT_MS + ANSWER_LIMIT_MS,
            |client, context| async move { client.watch(context, question).await },
        )
        .await;
    let Ok(Ok(answer)) = answer else {
        return false;
    };
    let now = watch.clock.now();
    let is_news = answer.routing > *routing
        || answer
            .reply
            .deltas
            .iter()
            .any(|delta| !delta.changes.is_empty() || delta.reset);
    watch
        .view
        .lock()
        .handle_watch_reply(address, &answer.reply, sent_at, now);
    (watch.on_controls)(&answer.controls);
    if answer.routing > *routing {
        *routing = answer.routing;
        (watch.on_routing_version)(address, answer.routing);
    }
    if is_news {
        watch.changed.notify_waiters();
    }
    true
}
