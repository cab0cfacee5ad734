//! What the log holds, and the state that must survive a restart.

use crate::{Damage, Index, ReplicaId, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// One position of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Position in the log.
    pub index: Index,
    /// Content.
    pub payload: Payload,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by each leader at the start of its term.
    Noop,
    /// Opaque bytes for the state machine above.
    Command(Vec<u8>),
    /// The members from this position on, in force as soon as the entry is in the log.
    Membership(Membership),
}

/// Voters and learners by their full identities.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas whose votes and acknowledgements count.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log without counting.
    pub learners: BTreeSet<ReplicaId>,
}

impl Membership {
    /// A membership of voters alone.
    pub fn of_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Number of voters that make a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the replica votes.
    #[must_use]
    pub fn is_voter(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id)
    }

    /// Whether the replica receives the log.
    #[must_use]
    pub fn is_member(&self, id: &ReplicaId) -> bool {
        self.is_voter(id) || self.learners.contains(id)
    }

    /// Whether the replicas include a majority of the voters.
    #[must_use]
    pub fn has_quorum(&self, replicas: &BTreeSet<ReplicaId>) -> bool {
        !self.voters.is_empty() && self.voters.intersection(replicas).count() >= self.quorum()
    }

    /// The value that a majority of the voters has reached, given the value of each.
    pub fn quorum_value<T: Ord + Copy>(&self, value_of: impl Fn(&ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(value_of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }
}

/// Term and vote, synced before any message that depends on them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term seen.
    pub term: Term,
    /// Replica that got the vote of this term.
    pub voted_for: Option<ReplicaId>,
}

/// Position and members that a snapshot stands for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry that the snapshot includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members at that entry.
    pub membership: Membership,
}

/// State of the upper layer after a position of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position and members.
    pub meta: SnapshotMeta,
    /// Opaque state of the upper layer. Empty stands for its initial state.
    pub data: Vec<u8>,
}

impl Snapshot {
    /// The founding state of a cluster, to be given to exactly one replica, once.
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

/// What the data folder held when the replica started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Set when synced content can't be read back: the replica then takes no part.
    pub damage: Option<Damage>,
}
