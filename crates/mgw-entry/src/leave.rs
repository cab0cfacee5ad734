//! The graceful end of an entry.

use std::sync::Arc;

use mgw_member::{AbortCause, Leaving, LeavingPhase, LeavingSettings, NodePhase, PendingWork};
use mgw_world::{Millis, RequestId};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::app::App;
use crate::intake::OpenCalls;

/// Time between two looks at what is in flight.
const STEP_MS: Millis = Millis(50);

/// How a leaving entry came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Left {
    /// All requests have ended; the rest of the shutdown may last up to this time.
    Empty {
        /// Time at which the limit of the shutdown is reached.
        limit_at: Millis,
    },
    /// Requests were cut off.
    Cut,
}

/// Waits until the entry shall leave, then until it may exit.
pub async fn leave(app: &Arc<App>, calls: &OpenCalls) -> Left {
    app.leaving.cancelled().await;
    let mut procedure = start_leaving(app);
    loop {
        let in_flight = list_in_flight(app);
        let unended = PendingWork {
            requests: &in_flight,
            open_calls: calls.count(),
        };
        let phase = if app.shutdown.forced.is_cancelled() {
            procedure.force(unended)
        } else {
            procedure.step(unended, app.clock.now())
        };
        if !phase.accepts_requests() {
            app.stop_new_work();
        }
        match phase {
            LeavingPhase::StillServing | LeavingPhase::Finishing => {}
            LeavingPhase::Finished => {
                info!("all requests have ended");
                let limit_at = procedure.limit_at();
                return Left::Empty { limit_at };
            }
            LeavingPhase::Aborted {
                cause: by,
                requests,
                open_calls,
            } => {
                report_cut(by, &requests, open_calls);
                app.shutdown.forced.cancel();
                return Left::Cut;
            }
        }
        sleep(STEP_MS.to_duration()).await;
    }
}

/// Requests in flight, in order of id.
pub fn list_in_flight(app: &App) -> Vec<RequestId> {
    app.in_flight.lock().iter().copied().collect()
}

/// Says which requests are cut off.
pub fn report_cut(by: AbortCause, requests: &[RequestId], open_calls: usize) {
    let count = requests.len();
    let requests: Vec<String> = requests.iter().map(ToString::to_string).collect();
    warn!(%by, count, open_calls, ?requests, "cutting requests off");
}

fn start_leaving(app: &App) -> Leaving {
    let settings = LeavingSettings {
        valid_ms: app.config.load().inventory.rules.requests.address_valid_ms,
        hear_ms: app.settings.leaving.hear_ms,
        limit_ms: app.settings.leaving.limit_ms,
    };
    let mut view = app.members.view.lock();
    let has_served = view.own_info().phase != NodePhase::Starting;
    view.set_phase(NodePhase::Leaving);
    drop(view);
    let by_signal = app.shutdown.graceful.is_cancelled();
    if !by_signal {
        info!(
            "an operator drains this entry; it leaves again at each start while the drain stands"
        );
    }
    let now = app.clock.now();
    if has_served {
        info!("leaving; serving on until the answers that name this entry have run out");
        Leaving::new(settings, now)
    } else {
        info!("leaving before it served; no answer names this entry");
        Leaving::before_serving(settings, now)
    }
}
