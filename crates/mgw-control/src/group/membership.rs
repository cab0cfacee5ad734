//! The leader's part: promotes learners and, in an open group, removes voters that are lost.

use std::collections::{BTreeMap, BTreeSet};

use mgw_quorum::{GroupStatus, MemberPlanner, ReplicaId};
use mgw_world::Millis;
use tracing::info;

use crate::app::App;
use crate::replica::ReplicaReport;

/// Time for which a leader itself has had no answer from a voter before it goes by the view as well: at the start of
/// its term no voter has answered yet.
const MIN_OWN_EVIDENCE_MS: Millis = Millis(800);

/// What a leader remembers of its voters from one round to the next.
#[derive(Debug, Default)]
pub struct MembershipState {
    /// Members that this leader can't reach, with the time at which it first couldn't.
    unreachable_since: BTreeMap<ReplicaId, Millis>,
    /// Voters and unreachable voters as last logged.
    logged_voters: (BTreeSet<ReplicaId>, BTreeSet<ReplicaId>),
    /// Refusal of a membership change that was last logged.
    logged_refusal: Option<String>,
}

/// Makes the membership change that is due, if any.
pub async fn update_membership(app: &App, report: &ReplicaReport, state: &mut MembershipState) {
    let now = app.clock.now();
    track_unreachable_members(report, state, now);
    log_changed_voters(report, state);
    let silent_ms = if app.settings.open_group {
        measure_silences(app, state, now)
    } else {
        BTreeMap::new()
    };
    let change = member_planner(app).next_change(&GroupStatus {
        membership: &report.membership,
        reachable: &report.reachable,
        caught_up: &report.caught_up,
        silent_ms: &silent_ms,
    });
    let Some(change) = change else {
        return;
    };
    match app.replica.change(change.clone()).await {
        Ok(()) => state.logged_refusal = None,
        Err(error) => {
            let refusal = format!("{change:?}: {error}");
            // A change is tried again in each round.
            if state.logged_refusal.as_ref() != Some(&refusal) {
                info!(?change, %error, "membership change refused");
                state.logged_refusal = Some(refusal);
            }
        }
    }
}

/// The planner of changes to the group that this control belongs to.
pub(super) fn member_planner(app: &App) -> MemberPlanner {
    MemberPlanner::for_losses(app.settings.tolerated_losses)
}

/// Records since when each member is unreachable; forgets those that are reachable.
fn track_unreachable_members(report: &ReplicaReport, state: &mut MembershipState, now: Millis) {
    let previous = std::mem::take(&mut state.unreachable_since);
    let membership = &report.membership;
    let members = membership.voters.iter().chain(&membership.learners);
    let unreachable = members.filter(|id| !report.reachable.contains(id));
    state.unreachable_since = unreachable
        .map(|id| (id.clone(), previous.get(id).copied().unwrap_or(now)))
        .collect();
}

/// How long each unreachable member has been silent, by what this leader has seen, or by its view of the nodes,
/// which is older than its term.
fn measure_silences(
    app: &App,
    state: &MembershipState,
    now: Millis,
) -> BTreeMap<ReplicaId, Millis> {
    if state.unreachable_since.is_empty() {
        return BTreeMap::new();
    }
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let age_of = |id: &ReplicaId| {
        let mut nodes = nodes.iter();
        let node = nodes.find(|node| node.info.name.as_str() == id.name)?;
        // A record that was never confirmed tells nothing.
        (node.age_ms < Millis::MAX).then_some(node.age_ms)
    };
    let silences = state.unreachable_since.iter().map(|(id, since)| {
        let own_ms = now - *since;
        let silent_ms = match age_of(id) {
            Some(age_ms) if own_ms >= MIN_OWN_EVIDENCE_MS => own_ms.max(age_ms),
            _ => own_ms,
        };
        (id.clone(), silent_ms)
    });
    silences.collect()
}

/// Logs the voters and those of them that don't answer, when either has changed.
fn log_changed_voters(report: &ReplicaReport, state: &mut MembershipState) {
    let voters = &report.membership.voters;
    let unreachable = state.unreachable_since.keys();
    let unreachable = unreachable.filter(|id| voters.contains(id));
    let current = (voters.clone(), unreachable.cloned().collect());
    if current == state.logged_voters {
        return;
    }
    let names = |ids: &BTreeSet<ReplicaId>| {
        let names: Vec<&str> = ids.iter().map(|id| id.name.as_str()).collect();
        names.join(",")
    };
    info!(
        term = %report.term,
        voters = names(&current.0),
        unreachable = names(&current.1),
        learners = names(&report.membership.learners),
        "voters changed"
    );
    state.logged_voters = current;
}
