//! Periodic background work of a control. The leader declares lost entries and updates the group's
//! membership; a control that isn't a member asks the leader to join.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use mgw_member::NodeRole;
use mgw_peer::{JoinRequest, PeerError};
use mgw_quorum::{ReplicaId, Role};
use mgw_state::{Action, ClaimantId, Reply};
use mgw_world::{FenceNumber, Millis};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::app::App;
use crate::replica::{MemberChange, ReplicaReport};

/// Time between two rounds of maintenance.
const ROUND_INTERVAL_MS: Millis = Millis(200);
/// Time without an update from an entry after which it is declared lost and its open claims become
/// unknown.
const ENTRY_LOST_AFTER_MS: Millis = Millis(10_000);
/// Time between two `AdvanceTime` commands, which only move the state machine's time forward.
const ADVANCE_TIME_INTERVAL_MS: Millis = Millis(60_000);
/// Timeout of a join request, and the shortest time between two rounds of them.
const JOIN_TIMEOUT_MS: Millis = Millis(600);
/// Time without a response after which a voter is removed from an open group. It is well beyond the
/// restart of a machine, so that the group doesn't shrink while machines restart.
const VOTER_LOST_AFTER_MS: Millis = Millis(12_000);
/// Fewest voters that may remain after the removal of a lost one.
const MIN_VOTERS: usize = 3;

/// State carried over from one round to the next.
#[derive(Debug, Default)]
struct MaintenanceState {
    /// Last term whose fencing number this leader committed.
    fenced_term: u64,
    /// Time of the last `AdvanceTime` command.
    advanced_at: Millis,
    /// Time of the last join requests.
    join_requested_at: Millis,
    /// Voters that this leader can't reach, with the time at which it first couldn't.
    unreachable_since: BTreeMap<ReplicaId, Millis>,
    /// Voters and unreachable voters as last logged.
    logged_voters: (BTreeSet<ReplicaId>, BTreeSet<ReplicaId>),
    /// Refusal of a membership change that was last logged.
    logged_refusal: Option<String>,
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
        } else if !report.membership.is_member(&report.id) && report.damage.is_none() {
            request_join(&app, &report, &mut state).await;
        }
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
    update_membership(app, report, state).await;
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

/// Promotes learners to voters, one at a time, in place of an unreachable replica of the same name;
/// in an open group, removes voters that are lost.
async fn update_membership(app: &App, report: &ReplicaReport, state: &mut MaintenanceState) {
    let now = app.clock.now();
    track_unreachable_voters(report, state, now);
    log_changed_voters(report, state);
    let lost = app
        .settings
        .open_group
        .then(|| plan_lost_voter_removal(report, state, now));
    let Some(change) = plan_member_change(report).or(lost.flatten()) else {
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

/// Logs the voters and those of them that don't answer, when either has changed.
fn log_changed_voters(report: &ReplicaReport, state: &mut MaintenanceState) {
    let unreachable = state.unreachable_since.keys().cloned().collect();
    let current = (report.membership.voters.clone(), unreachable);
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

/// Records since when each voter is unreachable; forgets those that are reachable.
fn track_unreachable_voters(report: &ReplicaReport, state: &mut MaintenanceState, now: Millis) {
    let previous = std::mem::take(&mut state.unreachable_since);
    let voters = report.membership.voters.iter();
    let unreachable = voters.filter(|id| !report.reachable.contains(id));
    state.unreachable_since = unreachable
        .map(|id| (id.clone(), previous.get(id).copied().unwrap_or(now)))
        .collect();
}

/// Plans the removal of a voter that is lost, in a group whose machines are replaced under other
/// names. A removed replica that comes back asks to join again.
fn plan_lost_voter_removal(
    report: &ReplicaReport,
    state: &MaintenanceState,
    now: Millis,
) -> Option<MemberChange> {
    if report.membership.voters.len() <= MIN_VOTERS {
        return None;
    }
    let mut lost = state.unreachable_since.iter();
    let lost = lost.find(|(_, since)| now - **since >= VOTER_LOST_AFTER_MS);
    lost.map(|(id, _)| MemberChange::Remove(id.clone()))
}

/// Plans the promotion of the first reachable learner. An unreachable learner doesn't block others.
/// Before the promotion, an unreachable replica of the same name, which lost its disk, is removed;
/// while a replica of that name is reachable nothing is planned.
fn plan_member_change(report: &ReplicaReport) -> Option<MemberChange> {
    let members = &report.membership;
    let is_reachable = |id: &&ReplicaId| report.reachable.contains(id);
    let learner = members.learners.iter().find(is_reachable)?;
    let all_members = members.voters.iter().chain(&members.learners);
    let mut predecessors = all_members.filter(|id| id.name == learner.name && *id != learner);
    match predecessors.next() {
        Some(predecessor) if is_reachable(&predecessor) => None,
        Some(predecessor) => Some(MemberChange::Remove(predecessor.clone())),
        None => Some(MemberChange::Promote(learner.clone())),
    }
}

/// Asks the other controls, one after the other, to be added as a learner; the leader accepts.
async fn request_join(app: &App, report: &ReplicaReport, state: &mut MaintenanceState) {
    let now = app.clock.now();
    if now - state.join_requested_at < JOIN_TIMEOUT_MS {
        return;
    }
    state.join_requested_at = now;
    for address in list_other_controls(app) {
        let request = JoinRequest {
            replica: ReplicaId::clone(&report.id),
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
                info!(leader = %address, "added to the group as a learner");
                return;
            }
            Ok(Err(PeerError::Refused { message })) => warn!(%message, "join request refused"),
            _ => {}
        }
    }
}

/// Addresses of the other controls: first those in the settings, then those in the view.
pub fn list_other_controls(app: &App) -> Vec<SocketAddr> {
    let own_address = app.settings.peer_listen;
    let mut addresses: Vec<SocketAddr> = app
        .settings
        .controls
        .iter()
        .map(|peer| peer.address)
        .collect();
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let controls = nodes.iter();
    let controls = controls.filter(|node| node.info.role == NodeRole::Control);
    addresses.extend(controls.map(|node| node.info.peer_address));
    addresses.retain(|address| *address != own_address);
    let mut unique = BTreeSet::new();
    addresses.retain(|address| unique.insert(*address));
    addresses
}
