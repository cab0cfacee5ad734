//! Leaves the group at a graceful shutdown, if the other voters are stronger without this one.
//!
//! Whether the control will be back isn't known here. One that is back joins again.

use mgw_peer::PeerError;
use mgw_quorum::{MemberChange, ReplicaId};
use mgw_state::Action;
use mgw_world::Millis;
use tokio::time::sleep;
use tracing::{info, warn};

use super::membership::member_planner;
use crate::app::App;
use crate::handle::leader_address;
use crate::replica::ReplicaReport;

/// Timeout of one request to leave.
const LEAVE_TIMEOUT_MS: Millis = Millis(600);
/// Longest time that a shutdown waits until this control has left the group.
const LEAVE_LIMIT_MS: Millis = Millis(1_500);
/// Pause between two requests to leave: a new leader first commits an entry of its term.
const LEAVE_PAUSE_MS: Millis = Millis(50);

/// Asks the leader to remove this control from the group, if the others should go on without it.
pub async fn leave_group(app: &App) {
    let started_at = app.clock.now();
    while app.clock.now() - started_at < LEAVE_LIMIT_MS {
        let Some(report) = app.replica.describe().await else {
            return;
        };
        if !should_leave(app, &report.id, &report) {
            return;
        }
        if request_leave(app, &report).await {
            info!(replica = %report.id, "left the group");
            return;
        }
        sleep(LEAVE_PAUSE_MS.to_duration()).await;
    }
    warn!("the leader didn't remove this control from the group in time; stopping as a voter");
}

async fn request_leave(app: &App, report: &ReplicaReport) -> bool {
    let Ok(leader) = leader_address(app, report.leader.clone()) else {
        return false;
    };
    let replica = report.id.clone();
    let response = app
        .pool
        .call(leader, LEAVE_TIMEOUT_MS, |client, context| async move {
            client.leave(context, replica).await
        })
        .await;
    matches!(response, Ok(Ok(())))
}

/// Removes a voter that stops. Returns once the removal is committed.
///
/// # Errors
/// When this control isn't the leader, or the others need the voter.
pub async fn handle_leave(app: &App, replica: ReplicaId) -> Result<(), PeerError> {
    let report = app.replica.describe().await.ok_or(PeerError::Ending)?;
    if report.membership.is_voter(&replica) {
        if !should_leave(app, &replica, &report) {
            let message = format!("the group is no stronger without {replica}");
            return Err(PeerError::Refused { message });
        }
        app.replica.change(MemberChange::Remove(replica)).await?;
    }
    // An entry behind the removal is committed after it.
    app.replica.submit(Action::AdvanceTime).await.map(drop)
}

fn should_leave(app: &App, replica: &ReplicaId, report: &ReplicaReport) -> bool {
    app.settings.open_group && member_planner(app).should_leave(replica, &report.membership)
}
