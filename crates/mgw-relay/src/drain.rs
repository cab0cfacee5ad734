//! The end of a relay: no new callers, whole answers for those that are here.

use std::sync::Arc;

use mgw_member::NodePhase;
use mgw_world::Millis;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::app::App;
use crate::callers::CallerConnections;

/// Time in which the other nodes hear that this one leaves.
const PHASE_SPREAD_MS: Millis = Millis(500);
/// Time kept before the process is ended by force.
const FORCED_END_MARGIN_MS: Millis = Millis(500);

/// Serves on while callers still hold this address, then ends their connections one answer at a
/// time.
pub async fn drain(app: &Arc<App>, callers: &CallerConnections) {
    info!(
        connections = callers.tasks.len(),
        "asked to end; serving on for a while"
    );
    app.view.lock().set_phase(NodePhase::Leaving);
    app.targets_changed.notify_waiters();
    let serving_on_ms = PHASE_SPREAD_MS + app.settings.addresses_valid_ms;
    sleep(serving_on_ms.to_duration()).await;
    info!(
        connections = callers.tasks.len(),
        "closing idle connections"
    );
    callers.closing.cancel();
    callers.tasks.close();
    let left_ms = app.settings.grace_ms - serving_on_ms - FORCED_END_MARGIN_MS;
    let draining = timeout(left_ms.to_duration(), callers.tasks.wait());
    if draining.await.is_err() {
        warn!(
            connections = callers.tasks.len(),
            "ending while requests run"
        );
    }
}
