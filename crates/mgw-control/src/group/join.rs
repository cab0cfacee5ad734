//! Joins the group: of a control that isn't a member, or that was removed while it was away and can't know.

use mgw_peer::{JoinRequest, PeerError};
use mgw_quorum::ReplicaId;
use mgw_world::Millis;
use tracing::{info, warn};

use super::list_other_controls;
use crate::app::App;
use crate::replica::ReplicaReport;

/// Timeout of a join request, and the shortest time between two rounds of them.
const JOIN_TIMEOUT_MS: Millis = Millis(600);

/// Time without a leader after which a member asks whether it still is one. Nobody sends the log to a removed
/// member, so that its own log never holds its removal.
const LEADERLESS_AFTER_MS: Millis = Millis(1_000);

/// What a control remembers of its join requests.
#[derive(Debug, Default)]
pub struct JoinState {
    /// Time of the last join requests.
    requested_at: Millis,
    /// Since when this control has known no leader.
    leaderless_since: Option<Millis>,
}

/// Asks the other controls to be added to the group, if this control isn't a member of it or hears from no
/// leader. A leader that has it as a member changes nothing.
pub async fn join_if_needed(app: &App, report: &ReplicaReport, state: &mut JoinState) {
    let now = app.clock.now();
    if report.leader.is_some() {
        state.leaderless_since = None;
    }
    let leaderless_since = *state.leaderless_since.get_or_insert(now);
    let may_be_removed = report.leader.is_none() && now - leaderless_since >= LEADERLESS_AFTER_MS;
    let is_outside = !report.membership.is_member(&report.id) || may_be_removed;
    if !is_outside || report.damage.is_some() || now - state.requested_at < JOIN_TIMEOUT_MS {
        return;
    }
    state.requested_at = now;
    request_join(app, &report.id).await;
}

/// Asks the other controls, one after the other, to be added as a learner; the leader accepts.
async fn request_join(app: &App, replica: &ReplicaId) {
    for address in list_other_controls(app) {
        let request = JoinRequest {
            replica: replica.clone(),
            address: app.settings.peer_listen,
        };
        let response = app
            .pool
            .call(address, JOIN_TIMEOUT_MS, |client, context| async move {
                client.join(context, request).await
            })
            .await;
        match response {
            Ok(Ok(())) => {
                info!(leader = %address, "the leader has this control as a member");
                return;
            }
            Ok(Err(PeerError::Refused { message })) => warn!(%message, "join request refused"),
            _ => {}
        }
    }
}
