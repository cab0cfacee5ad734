//! Graceful shutdown of an entry.

use std::sync::Arc;

use mgw_member::{AbortCause, Leaving, LeavingPhase, LeavingSettings, NodePhase, PendingWork};
use mgw_world::{Millis, RequestId};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::app::App;
use crate::open_calls::OpenCalls;

/// Time between two checks of the requests in flight.
const POLL_MS: Millis = Millis(50);

/// How the graceful shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveResult {
    /// All requests have ended.
    Drained {
        /// Time up to which the rest of the shutdown may last.
        limit_at: Millis,
    },
    /// Requests were aborted.
    Aborted,
}

/// Waits until the entry is asked to leave, then until it may exit.
pub async fn leave(app: &Arc<App>, calls: &OpenCalls) -> LeaveResult {
    app.leaving.cancelled().await;
    let mut leaving = start_leaving(app);
    loop {
        let in_flight = list_in_flight(app);
        let pending_work = PendingWork {
            requests: &in_flight,
            open_calls: calls.count(),
        };
        let phase = if app.shutdown.forced.is_cancelled() {
            leaving.force(pending_work)
        } else {
            leaving.step(pending_work, app.clock.now())
        };
        if !phase.accepts_requests() {
            app.stop_accepting_requests();
        }
        match phase {
            LeavingPhase::StillServing | LeavingPhase::Finishing => {}
            LeavingPhase::Finished => {
                info!("all requests in flight have ended");
                let limit_at = leaving.limit_at();
                return LeaveResult::Drained { limit_at };
            }
            LeavingPhase::Aborted {
                cause,
                requests,
                open_calls,
            } => {
                log_aborted_requests(cause, &requests, open_calls);
                app.shutdown.forced.cancel();
                return LeaveResult::Aborted;
            }
        }
        sleep(POLL_MS.to_duration()).await;
    }
}

/// Ids of the requests in flight, in ascending order.
pub fn list_in_flight(app: &App) -> Vec<RequestId> {
    app.in_flight.lock().iter().copied().collect()
}

/// Logs which requests are aborted.
pub fn log_aborted_requests(cause: AbortCause, requests: &[RequestId], open_calls: usize) {
    let count = requests.len();
    let requests: Vec<String> = requests.iter().map(ToString::to_string).collect();
    warn!(by = %cause, count, open_calls, ?requests, "aborting the requests in flight");
}

/// Announces in the view that this entry is leaving and starts the procedure.
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
            "an operator drains this entry; it leaves after each start until the drain is lifted"
        );
    }
    let now = app.clock.now();
    if has_served {
        info!("shutting down: serving callers until address answers that name this entry expire");
        Leaving::new(settings, now)
    } else {
        info!(
            "shutting down: leaving before it served callers; no address answer names this entry"
        );
        Leaving::before_serving(settings, now)
    }
}
