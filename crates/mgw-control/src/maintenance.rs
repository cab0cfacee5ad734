//! Periodic background work of a control. The leader declares lost entries and updates the group's
//! membership; a control that isn't a member, or may be none any more, asks the leader to join.

use std::collections::BTreeMap;
use std::sync::Arc;

use mgw_quorum::Role;
use mgw_state::{Action, ClaimantId, Reply};
use mgw_world::{FenceNumber, Millis};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::app::App;
use crate::group::{JoinState, MembershipState, join_if_needed, update_membership};
use crate::replica::ReplicaReport;

/// Time between two rounds of maintenance.
const ROUND_INTERVAL_MS: Millis = Millis(200);
/// Time without an update from an entry after which it is declared lost and its open claims become
/// unknown.
const ENTRY_LOST_AFTER_MS: Millis = Millis(10_000);
/// Time between two `AdvanceTime` commands, which only move the state machine's time forward.
const ADVANCE_TIME_INTERVAL_MS: Millis = Millis(60_000);

/// State carried over from one round to the next.
#[derive(Debug, Default)]
struct MaintenanceState {
    /// Last term whose fencing number this leader committed.
    fenced_term: u64,
    /// Time of the last `AdvanceTime` command.
    advanced_at: Millis,
    membership: MembershipState,
    join: JoinState,
    /// Entries with open claims, with the time at which this leader first saw such a claim.
    claimants_first_seen: BTreeMap<ClaimantId, Millis>,
}

/// Runs the maintenance rounds of this control until its graceful shutdown starts.
pub async fn run_maintenance(app: Arc<App>) {
    let mut state = MaintenanceState::default();
    while app
        .shutdown
        .graceful
        .run_until_cancelled(sleep(ROUND_INTERVAL_MS.to_duration()))
        .await
        .is_some()
    {
        let Some(report) = app.replica.describe().await else {
            return;
        };
        update_metrics(&app, &report);
        if report.holds_lease {
            run_leader_round(&app, &report, &mut state).await;
        }
        join_if_needed(&app, &report, &mut state.join).await;
    }
}

fn update_metrics(app: &App, report: &ReplicaReport) {
    let to_gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    let metrics = &app.metrics;
    metrics
        .is_leader
        .set(i64::from(report.role == Role::Leader));
    metrics.term.set(to_gauge(report.term.0));
    metrics.sync_count.set(to_gauge(report.sync_count));
    metrics.is_disk_full.set(i64::from(report.is_disk_full));
    let (voters, unreachable) = if report.role == Role::Leader {
        let voters = &report.membership.voters;
        let unreachable = voters.iter().filter(|id| !report.reachable.contains(id));
        (voters.len(), unreachable.count())
    } else {
        (0, 0)
    };
    metrics.voters.set(to_gauge(voters as u64));
    metrics.unreachable_voters.set(to_gauge(unreachable as u64));
    let state = app.replica.state.read();
    metrics.applied_index.set(to_gauge(state.applied()));
    metrics
        .unknown_claims
        .set(i64::from(state.ledger().unknown_count()));
}

/// One round of a leader: commits the fencing number of a new term, declares lost entries, updates
/// the membership and advances the state machine's time.
async fn run_leader_round(app: &App, report: &ReplicaReport, state: &mut MaintenanceState) {
    if state.fenced_term != report.term.0 {
        let fence = FenceNumber(report.term.0);
        let action = Action::SetFence {
            fence,
            leader: app.settings.name.clone(),
        };
        if let Ok(Reply::Fence { .. }) = app.replica.submit(action).await {
            state.fenced_term = report.term.0;
        }
    }
    declare_lost_entries(app, state).await;
    update_membership(app, report, &mut state.membership).await;
    let now = app.clock.now();
    if now - state.advanced_at >= ADVANCE_TIME_INTERVAL_MS {
        state.advanced_at = now;
        let _ = app.replica.submit(Action::AdvanceTime).await;
    }
}

/// Declares entries lost that have open claims but are no longer alive, so that no caller waits for
/// their outcome.
async fn declare_lost_entries(app: &App, state: &mut MaintenanceState) {
    let now = app.clock.now();
    let current = app.replica.state.read().ledger().claimants();
    let previous = std::mem::take(&mut state.claimants_first_seen);
    let since = |claimant: &ClaimantId| previous.get(claimant).copied().unwrap_or(now);
    state.claimants_first_seen = current
        .into_iter()
        .map(|claimant| (claimant.clone(), since(&claimant)))
        .collect();
    let lost = state.claimants_first_seen.iter();
    let lost = lost.filter(|(claimant, since)| is_lost(app, claimant, now - **since));
    for (claimant, _) in lost {
        let claimant = claimant.clone();
        info!(%claimant, "entry is lost; marking its open claims as unknown");
        if let Err(error) = app.replica.submit(Action::EntryLost { claimant }).await {
            warn!(%error, "can't declare the entry lost");
        }
    }
}

/// Whether an entry is lost: the view has had no update from it for `ENTRY_LOST_AFTER_MS`, and its
/// open claims were first seen longer ago than that. A recent claim shows that the entry is alive:
/// one that resumes after a freeze may claim before its next update arrives.
fn is_lost(app: &App, claimant: &ClaimantId, claiming_for: Millis) -> bool {
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let name = claimant.entry.as_str();
    match nodes.iter().find(|node| node.info.name.as_str() == name) {
        Some(node) => {
            // An entry that was declared lost claims under a higher incarnation than it
            // announces.
            node.info.incarnation > claimant.incarnation
                || node.age_ms.min(claiming_for) > ENTRY_LOST_AFTER_MS
        }
        None => (now - view.started_at()).min(claiming_for) > ENTRY_LOST_AFTER_MS,
    }
}
