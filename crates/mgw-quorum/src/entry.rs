//! Log entries, memberships and snapshots, and the state that must survive a restart.

use crate::{Damage, Index, ReplicaId, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Index in the log.
    pub index: Index,
    /// Content of the entry.
    pub payload: Payload,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Entry without content that each leader appends at the start of its term.
    Noop,
    /// Opaque bytes for the replicated state machine.
    Command(Vec<u8>),
    /// The membership from this index on, in force as soon as the entry is in the log.
    Membership(Membership),
}

/// Voters and learners of the cluster, by their full identities.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas whose votes and acknowledgements count toward a quorum.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log without counting toward a quorum.
    pub learners: BTreeSet<ReplicaId>,
}

impl Membership {
    /// A membership of these voters and no learners.
    pub fn of_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Number of voters that form a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the replica is a voter.
    #[must_use]
    pub fn is_voter(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id)
    }

    /// Whether the replica is a voter or a learner, and so receives the log.
    #[must_use]
    pub fn is_member(&self, id: &ReplicaId) -> bool {
        self.is_voter(id) || self.learners.contains(id)
    }

    /// Whether the replicas include a majority of the voters.
    #[must_use]
    pub fn has_quorum(&self, replicas: &BTreeSet<ReplicaId>) -> bool {
        !self.voters.is_empty() && self.voters.intersection(replicas).count() >= self.quorum()
    }

    /// The highest value that a majority of the voters has reached, given the value of each voter.
    /// None without voters.
    pub fn quorum_value<T: Ord + Copy>(&self, value_of: impl Fn(&ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(value_of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }
}

/// Current term and vote of a replica. They are synced before any message that depends on them is
/// sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that this replica voted for in this term.
    pub voted_for: Option<ReplicaId>,
}

/// Last log entry that a snapshot includes, and the membership at that entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership as of that entry.
    pub membership: Membership,
}

/// State of the replicated state machine after it applied the log up to an index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last included entry, and the membership.
    pub meta: SnapshotMeta,
    /// Opaque state of the replicated state machine. Empty stands for its initial state.
    pub data: Vec<u8>,
}

impl Snapshot {
    /// The initial snapshot of a new cluster. Only the voters that found the cluster may be given
    /// it, each of them once.
    #[must_use]
    pub const fn founding(membership: Membership) -> Self {
        Self {
            meta: SnapshotMeta {
                index: Index(1),
                term: Term(1),
                membership,
            },
            data: Vec::new(),
        }
    }
}

/// State that was read from the data folder when the replica started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Newest term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Set when synced content can't be read back. The replica then neither votes nor replicates.
    pub damage: Option<Damage>,
}
