//! The graceful end of an entry.

use std::sync::Arc;

use mgw_member::{Leaving, LeavingPhase, LeavingSettings, NodePhase};
use mgw_world::{Millis, RequestId};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::app::App;

/// Time between two looks at what is in flight.
const STEP_MS: Millis = Millis(50);

/// Waits until the entry shall leave, then until it may exit.
pub async fn leave(app: &Arc<App>) {
    app.leaving.cancelled().await;
    info!("leaving; serving on until the answers that name this entry have run out");
    app.members.view.lock().set_phase(NodePhase::Leaving);
    let settings = LeavingSettings {
        valid_ms: app.config.load().inventory.rules.requests.address_valid_ms,
        hear_ms: app.settings.leaving.hear_ms,
        limit_ms: app.settings.leaving.limit_ms,
    };
    let mut procedure = Leaving::new(settings, app.clock.now());
    loop {
        let in_flight: Vec<RequestId> = app.in_flight.lock().iter().copied().collect();
        let phase = if app.shutdown.forced.is_cancelled() {
            procedure.force(&in_flight)
        } else {
            procedure.step(&in_flight, app.clock.now())
        };
        if !phase.takes_requests() {
            app.stop_new_work();
        }
        match phase {
            LeavingPhase::ServingOn | LeavingPhase::Ending => {}
            LeavingPhase::Empty => {
                info!("all requests have ended");
                return;
            }
            LeavingPhase::Cut { by, requests } => {
                let requests: Vec<String> = requests.iter().map(ToString::to_string).collect();
                warn!(%by, count = requests.len(), ?requests, "cutting requests off");
                app.shutdown.forced.cancel();
                return;
            }
        }
        sleep(STEP_MS.to_duration()).await;
    }
}
