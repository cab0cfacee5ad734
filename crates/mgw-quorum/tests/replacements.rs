//! Random orders of outages and replacements, one at a time, in logical time: replicas with the planner of
//! membership changes always have a quorum again, and every control that runs votes.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::Cluster;
use mgw_quorum::{GroupStatus, MemberChange, MemberPlanner, QuorumError, ReplicaId, Settings};
use mgw_world::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two rounds of a control's upkeep.
const ROUND_MS: u64 = 200;
/// Time that a machine has after its start before the next one may go.
const CATCH_UP_MS: u64 = 4_000;
/// Time without a leader after which a control asks to join.
const LEADERLESS_MS: Millis = Millis(1_000);
const ORDERS: u64 = 200;
const EVENTS: usize = 6;

/// A cluster whose leader plans membership changes and whose other replicas ask to join.
struct Group {
    cluster: Cluster,
    rng: ChaCha8Rng,
    /// Since when the leader of this position and term hasn't heard from a voter.
    silent_since: BTreeMap<ReplicaId, Millis>,
    leader: Option<usize>,
    leaderless_since: BTreeMap<usize, Millis>,
    gone: BTreeSet<usize>,
}

impl Group {
    fn new(voters: usize, seed: u64) -> Self {
        Self {
            cluster: Cluster::new(voters, Settings::default(), seed),
            rng: ChaCha8Rng::seed_from_u64(seed),
            silent_since: BTreeMap::new(),
            leader: None,
            leaderless_since: BTreeMap::new(),
            gone: BTreeSet::new(),
        }
    }

    /// Runs the group for a while, with a round of upkeep now and then.
    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms.div_ceil(ROUND_MS) {
            self.cluster.run(ROUND_MS).unwrap();
            let leader = self.cluster.leader();
            let leader = leader.filter(|at| self.cluster.has_lease(*at));
            if leader != self.leader {
                self.silent_since.clear();
                self.leader = leader;
            }
            if let Some(leader) = leader {
                self.plan_change(leader);
                self.join_others(leader);
            }
        }
    }

    fn plan_change(&mut self, leader: usize) {
        let now = self.cluster.now;
        let replica = self.cluster.replica(leader);
        let (membership, reachable) = (replica.membership().clone(), replica.reachable_members());
        let caught_up = replica.caught_up_learners();
        let previous = std::mem::take(&mut self.silent_since);
        let silent = membership
            .voters
            .iter()
            .filter(|id| !reachable.contains(id));
        self.silent_since = silent
            .map(|id| (id.clone(), previous.get(id).copied().unwrap_or(now)))
            .collect();
        let since = self.silent_since.iter();
        let silent_ms = since
            .map(|(id, since)| (id.clone(), now - *since))
            .collect();
        let change = MemberPlanner::default().next_change(&GroupStatus {
            membership: &membership,
            reachable: &reachable,
            caught_up: &caught_up,
            silent_ms: &silent_ms,
        });
        let Some(change) = change else {
            return;
        };
        // A change that is refused is planned again in the next round.
        let _: Result<Option<Result<_, QuorumError>>, String> =
            self.cluster
                .apply_input(leader, |replica, now| match change {
                    MemberChange::AddLearner(id) => replica.add_learner(id, now),
                    MemberChange::Promote(id) => replica.promote(id, now),
                    MemberChange::Remove(id) => replica.remove(&id, now),
                });
    }

    /// Adds replicas that aren't members, or hear from no leader, unless the leader has them.
    fn join_others(&mut self, leader: usize) {
        let now = self.cluster.now;
        for at in 0..self.cluster.nodes.len() {
            let is_cut = self.cluster.blocked_links.contains(&(at, leader));
            if at == leader || is_cut || !self.cluster.is_active(at) {
                self.leaderless_since.remove(&at);
                continue;
            }
            let replica = self.cluster.replica(at);
            let is_member = replica.membership().is_member(replica.id());
            if replica.leader().is_some() {
                self.leaderless_since.remove(&at);
            }
            let since = *self.leaderless_since.entry(at).or_insert(now);
            let is_leaderless = replica.leader().is_none() && now - since >= LEADERLESS_MS;
            if is_member && !is_leaderless {
                continue;
            }
            let id = replica.id().clone();
            // Refused if it is a member already, or while another change is under way.
            let _ = self
                .cluster
                .apply_input(leader, |replica, now| replica.add_learner(id, now));
        }
    }

    fn pick(&mut self) -> usize {
        let running = (0..self.cluster.nodes.len()).filter(|at| !self.gone.contains(at));
        let running: Vec<usize> = running.collect();
        let is_leader_wanted = self.rng.random_bool(0.4);
        match self.leader.filter(|_| is_leader_wanted) {
            Some(leader) => leader,
            None => running[self.rng.random_range(0..running.len())],
        }
    }

    /// Loses a machine for good, or for a while, and gives what replaces it its time.
    fn disturb(&mut self) {
        let at = self.pick();
        let away_ms = self.rng.random_range(500..20_000);
        match self.rng.random_range(0..4) {
            0 => {
                self.cluster.crash(at, 0);
                self.gone.insert(at);
                self.run(1_000);
                self.cluster.add_empty_node();
            }
            1 => {
                self.cluster.crash(at, 0);
                self.run(away_ms);
                self.cluster.start(at);
            }
            2 => {
                self.cluster.nodes[at].is_frozen = true;
                self.run(away_ms);
                self.cluster.nodes[at].is_frozen = false;
            }
            _ => {
                self.cluster.isolate(at);
                self.run(away_ms);
                self.cluster.blocked_links.clear();
            }
        }
        self.run(CATCH_UP_MS);
    }

    /// Number of controls that run, and the voters as the leader counts them; none without a leader.
    fn count(&mut self) -> (usize, Option<(usize, usize)>) {
        let running = self.cluster.nodes.len() - self.gone.len();
        let leader = self
            .cluster
            .leader()
            .filter(|at| self.cluster.has_lease(*at));
        let counted = leader.map(|leader| {
            let replica = self.cluster.replica(leader);
            let voters = &replica.membership().voters;
            (
                voters.len(),
                voters.intersection(&replica.reachable_members()).count(),
            )
        });
        (running, counted)
    }
}

/// Review case 2: voters that were away weren't voters any more when they came back, until too few were left. Review case 1: lost ones
/// stayed voters.
#[test]
fn random_outages_and_replacements_leave_every_running_control_a_voter() {
    for seed in 0..ORDERS {
        let voters = 3 + usize::try_from(seed % 5).unwrap();
        let mut group = Group::new(voters, seed);
        group.run(CATCH_UP_MS);
        for event in 0..EVENTS {
            group.disturb();
            let (running, counted) = group.count();
            assert_eq!(running, voters, "one successor for each lost machine");
            assert_eq!(
                counted.map(|(_, reachable)| reachable),
                Some(running),
                "running controls that vote; seed {seed}, event {event}: {counted:?}"
            );
            let spare = counted.map(|(all, reachable)| reachable - (all / 2 + 1));
            assert!(spare >= Some(1), "seed {seed}, event {event}: {counted:?}");
        }
    }
}
