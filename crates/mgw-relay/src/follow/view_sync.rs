//! Updates the state that requests are routed by from the view.

use std::sync::Arc;

use mgw_member::NodePhase;
use mgw_world::Millis;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::app::App;

/// Longest time between two updates from the view.
const CHECK_INTERVAL_MS: Millis = Millis(500);

/// Updates targets, idle connections and the own phase until the token is cancelled.
pub async fn run_view_sync(app: Arc<App>, ended: CancellationToken) {
    loop {
        let targets_changed = app.targets_changed.notified();
        app.update_targets();
        app.connection_pool.drop_expired();
        publish_phase(&app);
        let waiting = timeout(CHECK_INTERVAL_MS.to_duration(), targets_changed);
        if ended.run_until_cancelled(waiting).await.is_none() {
            return;
        }
    }
}

/// Publishes in the view whether callers may be sent here.
fn publish_phase(app: &App) {
    let phase = if app.is_leaving() {
        NodePhase::Leaving
    } else if app.is_ready() {
        NodePhase::Serving
    } else {
        NodePhase::Starting
    };
    app.view.lock().set_phase(phase);
}
