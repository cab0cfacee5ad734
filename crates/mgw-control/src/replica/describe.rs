//! Describes a replica for operators and for the background tasks of its control.

use mgw_contract::operator::ReplicaStatus;
use mgw_quorum::{Replica, ReplicaId};
use mgw_world::{Millis, NodeName};

use super::ReplicaReport;

/// State of the replica's disk, which the replica itself doesn't know.
#[derive(Debug, Clone, Copy)]
pub struct DiskState {
    /// Whether a write waits for space.
    pub is_full: bool,
    /// Number of syncs since the data folder was opened.
    pub sync_count: u64,
}

/// Describes the replica and, as far as it knows them, the other members.
pub fn describe(replica: &Replica, disk: DiskState, now: Millis) -> ReplicaReport {
    let membership = replica.membership().clone();
    let voters = membership.voters.iter();
    let learners = membership.learners.iter();
    let replicas = voters
        .map(|id| describe_member(replica, id, true))
        .chain(learners.map(|id| describe_member(replica, id, false)))
        .collect();
    ReplicaReport {
        id: replica.id().clone(),
        role: replica.role(),
        term: replica.term(),
        leader: leader_name(replica),
        holds_lease: replica.has_lease_at(now),
        lease_until: replica.lease_until(),
        replicas,
        membership,
        reachable: replica.reachable_members(),
        caught_up: replica.caught_up_learners(),
        damage: replica.damage().map(ToString::to_string),
        is_disk_full: disk.is_full,
        sync_count: disk.sync_count,
    }
}

/// Name of the leader, if it is known.
pub fn leader_name(replica: &Replica) -> Option<NodeName> {
    let leader = replica.leader();
    leader.map(|id| NodeName::from(id.name.as_str()))
}

fn describe_member(replica: &Replica, id: &ReplicaId, votes: bool) -> ReplicaStatus {
    ReplicaStatus {
        name: NodeName::from(id.name.as_str()),
        role: describe_role(replica, id, votes),
        votes,
        matched: replica.match_index(id).map_or(0, |index| index.0),
        silent_ms: None,
    }
}

fn describe_role(replica: &Replica, id: &ReplicaId, votes: bool) -> String {
    if replica.leader() == Some(id) {
        return "leader".to_owned();
    }
    if id == replica.id() {
        return format!("{:?}", replica.role()).to_lowercase();
    }
    if votes { "follower" } else { "learner" }.to_owned()
}
