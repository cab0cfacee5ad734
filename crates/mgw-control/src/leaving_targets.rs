//! Targets that are leaving: each notice is committed to the log, so that it outlasts the control that received
//! it, and passed from the log to the view of each control.

use std::sync::Arc;

use mgw_peer::PeerError;
use mgw_state::Action;
use mgw_world::{Incarnation, Millis, TargetName};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::app::App;
use crate::handle::submit_anywhere;

/// Time within which a notice must be committed: a target waits no longer for the response.
const COMMIT_LIMIT_MS: Millis = Millis(800);

/// Commits that an incarnation of a target is leaving, unless it is known already.
///
/// # Errors
/// When no quorum confirmed it in time. The target must repeat its notice, here or at another control.
pub async fn record_leaving(
    app: &App,
    target: &TargetName,
    incarnation: Incarnation,
) -> Result<(), PeerError> {
    if app.replica.state.read().leaving().incarnation_of(target) >= Some(incarnation) {
        return Ok(());
    }
    let action = Action::TargetLeaving {
        target: target.clone(),
        incarnation,
    };
    let committed = timeout(COMMIT_LIMIT_MS.to_duration(), submit_anywhere(app, action)).await;
    match committed.unwrap_or(Err(PeerError::NotConfirmed)) {
        Ok(_) => {
            info!(target_name = %target, %incarnation, "leaving target recorded");
            Ok(())
        }
        Err(error) => {
            warn!(target_name = %target, %incarnation, %error, "leaving target not recorded");
            Err(error)
        }
    }
}

/// Passes the leaving targets of the log to the view, at each change, until `stop` is cancelled.
pub async fn follow_leaving_targets(app: Arc<App>, stop: CancellationToken) {
    let mut version = app.replica.config_version.clone();
    let mut passed = 0;
    loop {
        version.mark_unchanged();
        passed = pass_leaving_targets(&app, passed);
        match stop.run_until_cancelled(version.changed()).await {
            Some(Ok(())) => {}
            Some(Err(_)) | None => return,
        }
    }
}

/// Passes the leaving targets to the view if they have changed since revision `passed`; returns their revision.
fn pass_leaving_targets(app: &App, passed: u64) -> u64 {
    let (revision, leaving) = {
        let state = app.replica.state.read();
        let leaving = state.leaving();
        if leaving.revision() == passed {
            return passed;
        }
        let targets = leaving.iter();
        let targets = targets.map(|(name, incarnation)| (name.clone(), incarnation));
        (leaving.revision(), targets.collect())
    };
    app.view.lock().set_leaving(leaving, app.clock.now());
    app.view_changed.notify_waiters();
    revision
}
