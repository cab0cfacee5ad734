//! What a control does by itself: a leader follows entries and members, others ask to be members.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use mgw_member::NodeRole;
use mgw_peer::{JoinRequest, PeerError};
use mgw_quorum::{ReplicaId, Role};
use mgw_state::{Action, ClaimantId, Reply};
use mgw_world::{FenceNumber, Millis};
use tokio::time::sleep;
use tracing::{debug, info, warn};

use crate::app::App;
use crate::replica::{MemberChange, ReplicaReport};

/// Time between two rounds of duties.
const ROUND_MS: Millis = Millis(200);
/// Silence after which an entry counts as lost and its open claims become unknown.
const ENTRY_LOST_MS: Millis = Millis(10_000);
/// Time between two commands that only move the time.
const ADVANCE_MS: Millis = Millis(60_000);
/// Time that a control gets to answer a request to join.
const JOIN_LIMIT_MS: Millis = Millis(600);
/// Silence after which a voter is taken out of a group that others may join; well beyond the
/// restart of a machine, so that the group doesn't shrink while machines come and go.
const VOTER_LOST_MS: Millis = Millis(12_000);
/// Fewest voters that are left when a lost one is taken out.
const VOTERS_KEPT: usize = 3;

/// What is remembered from round to round.
#[derive(Debug, Default)]
struct Memory {
    fenced_term: u64,
    advanced_at: Millis,
    joined_at: Millis,
    /// Voters that don't answer, by the time from which this leader misses them.
    missed: BTreeMap<ReplicaId, Millis>,
    /// Entries with open claims, by the time from which this leader saw them.
    claimants: BTreeMap<ClaimantId, Millis>,
}

/// Does the duties of this control until it ends.
pub async fn run_duties(app: Arc<App>) {
    let mut memory = Memory::default();
    while app
        .shutdown
        .graceful
        .run_until_cancelled(sleep(ROUND_MS.to_duration()))
        .await
        .is_some()
    {
        let Some(report) = app.replica.describe().await else {
            return;
        };
        show_metrics(&app, &report);
        if report.holds_lease {
            lead(&app, &report, &mut memory).await;
        } else if !report.membership.is_member(&report.id) && report.damage.is_none() {
            ask_to_join(&app, &report, &mut memory).await;
        }
    }
}

fn show_metrics(app: &App, report: &ReplicaReport) {
    let to_gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    let metrics = &app.metrics;
    metrics.leads.set(i64::from(report.role == Role::Leader));
    metrics.term.set(to_gauge(report.term.0));
    metrics.syncs.set(to_gauge(report.syncs));
    let state = app.replica.state.read();
    metrics.applied.set(to_gauge(state.applied()));
    metrics
        .unknown_claims
        .set(i64::from(state.ledger().unknown_count()));
}

async fn lead(app: &App, report: &ReplicaReport, memory: &mut Memory) {
    if memory.fenced_term != report.term.0 {
        let fence = FenceNumber(report.term.0);
        let action = Action::SetFence {
            fence,
            leader: app.settings.name.clone(),
        };
        if let Ok(Reply::Fence { .. }) = app.replica.submit(action).await {
            memory.fenced_term = report.term.0;
        }
    }
    declare_lost_entries(app, memory).await;
    arrange_members(app, report, memory).await;
    let now = app.clock.now();
    if now - memory.advanced_at >= ADVANCE_MS {
        memory.advanced_at = now;
        let _ = app.replica.submit(Action::AdvanceTime).await;
    }
}

/// Declares entries lost that hold claims and are gone, so that nobody waits for them.
async fn declare_lost_entries(app: &App, memory: &mut Memory) {
    let now = app.clock.now();
    let open = app.replica.state.read().ledger().claimants();
    let seen = std::mem::take(&mut memory.claimants);
    let since = |claimant: &ClaimantId| seen.get(claimant).copied().unwrap_or(now);
    memory.claimants = open
        .into_iter()
        .map(|claimant| (claimant.clone(), since(&claimant)))
        .collect();
    let lost = memory.claimants.iter();
    let lost = lost.filter(|(claimant, since)| is_lost(app, claimant, now - **since));
    for (claimant, _) in lost {
        let claimant = claimant.clone();
        info!(%claimant, "entry is lost; its open claims become unknown");
        if let Err(error) = app.replica.submit(Action::EntryLost { claimant }).await {
            warn!(%error, "couldn't declare the entry lost");
        }
    }
}

/// A claim is a sign of life too: an entry that thaws may claim before it is heard again.
fn is_lost(app: &App, claimant: &ClaimantId, claims_for: Millis) -> bool {
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let name = claimant.entry.as_str();
    match nodes.iter().find(|node| node.info.name.as_str() == name) {
        Some(node) => {
            // An entry that was declared lost claims on under a higher number than it announces.
            node.info.incarnation > claimant.incarnation
                || node.age_ms.min(claims_for) > ENTRY_LOST_MS
        }
        None => (now - view.started_at()).min(claims_for) > ENTRY_LOST_MS,
    }
}

/// Gives learners a vote, one at a time, in place of an unreachable replica of the same name.
async fn arrange_members(app: &App, report: &ReplicaReport, memory: &mut Memory) {
    let now = app.clock.now();
    note_missed(report, memory, now);
    let lost = app
        .settings
        .open_group
        .then(|| plan_removal(report, memory, now));
    let Some(change) = plan_member_change(report).or(lost.flatten()) else {
        return;
    };
    match app.replica.change(change).await {
        Ok(()) => {}
        Err(error) => debug!(%error, "the members can't be changed yet"),
    }
}

fn note_missed(report: &ReplicaReport, memory: &mut Memory, now: Millis) {
    let before = std::mem::take(&mut memory.missed);
    let voters = report.membership.voters.iter();
    let missed = voters.filter(|id| !report.reachable.contains(id));
    memory.missed = missed
        .map(|id| (id.clone(), before.get(id).copied().unwrap_or(now)))
        .collect();
}

/// Takes out a voter that was lost for good, in a group whose machines are replaced under other
/// names; one that comes back asks to join again.
fn plan_removal(report: &ReplicaReport, memory: &Memory, now: Millis) -> Option<MemberChange> {
    if report.membership.voters.len() <= VOTERS_KEPT {
        return None;
    }
    let mut lost = memory.missed.iter();
    let lost = lost.find(|(_, since)| now - **since >= VOTER_LOST_MS);
    lost.map(|(id, _)| MemberChange::Remove(id.clone()))
}

/// A learner that can't be reached holds up no other; one that lost its disk again is taken out.
fn plan_member_change(report: &ReplicaReport) -> Option<MemberChange> {
    let members = &report.membership;
    let is_reachable = |id: &&ReplicaId| report.reachable.contains(id);
    let learner = members.learners.iter().find(is_reachable)?;
    let namesakes = members.voters.iter().chain(&members.learners);
    let mut formers = namesakes.filter(|id| id.name == learner.name && *id != learner);
    match formers.next() {
        Some(former) if is_reachable(&former) => None,
        Some(former) => Some(MemberChange::Remove(former.clone())),
        None => Some(MemberChange::Promote(learner.clone())),
    }
}

async fn ask_to_join(app: &App, report: &ReplicaReport, memory: &mut Memory) {
    let now = app.clock.now();
    if now - memory.joined_at < JOIN_LIMIT_MS {
        return;
    }
    memory.joined_at = now;
    for address in list_controls(app) {
        let request = JoinRequest {
            replica: ReplicaId::clone(&report.id),
            address: app.settings.peer_listen,
        };
        let answer = app
            .pool
            .call(address, JOIN_LIMIT_MS, |client, context| async move {
                client.join(context, request).await
            })
            .await;
        match answer {
            Ok(Ok(())) => {
                info!(leader = %address, "taken in as a learner");
                return;
            }
            Ok(Err(PeerError::Refused { message })) => warn!(%message, "not taken in"),
            _ => {}
        }
    }
}

/// Addresses of the other controls: those of the settings, then those that were heard of since.
pub fn list_controls(app: &App) -> Vec<SocketAddr> {
    let own = app.settings.peer_listen;
    let mut addresses: Vec<SocketAddr> = app
        .settings
        .controls
        .iter()
        .map(|peer| peer.address)
        .collect();
    let now = app.clock.now();
    let view = app.view.lock();
    let heard = view.nodes(now);
    let controls = heard.iter();
    let controls = controls.filter(|node| node.info.role == NodeRole::Control);
    addresses.extend(controls.map(|node| node.info.peer_address));
    addresses.retain(|address| *address != own);
    let mut known = BTreeSet::new();
    addresses.retain(|address| known.insert(*address));
    addresses
}
