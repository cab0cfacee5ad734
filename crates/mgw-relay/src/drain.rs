//! Graceful shutdown: takes no new callers and finishes the answers to those that are connected.

use std::sync::Arc;

use mgw_member::NodePhase;
use mgw_world::Millis;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::app::App;
use crate::callers::CallerConnections;

/// Time until the other nodes know that this one leaves.
const PHASE_SPREAD_MS: Millis = Millis(500);
/// Time reserved before the process is killed.
const FORCED_END_MARGIN_MS: Millis = Millis(500);

/// Keeps serving while callers may still use this address, then closes each connection after its
/// current answer.
pub async fn drain(app: &Arc<App>, callers: &CallerConnections) {
    info!(
        connections = callers.tasks.len(),
        "shutting down: serving callers until address answers that name this entry expire"
    );
    app.view.lock().set_phase(NodePhase::Leaving);
    app.targets_changed.notify_waiters();
    let still_serving_ms = PHASE_SPREAD_MS + app.settings.addresses_valid_ms;
    sleep(still_serving_ms.to_duration()).await;
    info!(
        connections = callers.tasks.len(),
        "closing idle connections"
    );
    callers.closing.cancel();
    callers.tasks.close();
    let left_ms = app.settings.grace_ms - still_serving_ms - FORCED_END_MARGIN_MS;
    let draining = timeout(left_ms.to_duration(), callers.tasks.wait());
    if draining.await.is_err() {
        warn!(
            connections = callers.tasks.len(),
            "the grace period is over; stopping with requests still in progress"
        );
    }
}
