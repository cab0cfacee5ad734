//! Refusals of the replica, and the report of a damaged data folder.

use crate::{Index, ReplicaId};

/// Why a replica refused a request.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum QuorumError {
    /// this replica does not lead; help: ask {leader:?}, or any other replica if it is unknown
    NotLeader {
        /// Leader of the current term, if known.
        leader: Option<ReplicaId>,
    },
    /// the leader has not committed in its own term yet; help: retry after a round trip
    NotReady,
    /// the member change at index {index} is not committed; help: retry once it is
    ChangePending {
        /// Position of the earlier change.
        index: Index,
    },
    /// replica {id} is no member in the needed role; help: list the members and check the disk id
    WrongMember {
        /// Replica that the request named.
        id: ReplicaId,
    },
    /// learner {id} is behind at index {matched}; help: retry once it has caught up
    LearnerBehind {
        /// Learner that the request named.
        id: ReplicaId,
        /// Last entry that it is known to hold.
        matched: Index,
    },
    /// too few reachable voters would remain; help: add or repair a voter first
    QuorumAtRisk,
    /// leadership is being handed to {target}; help: send the request to it
    Transferring {
        /// Voter that takes over.
        target: ReplicaId,
    },
    /// index {index} can't be a snapshot; help: pass an index that was applied and not compacted
    BadSnapshotIndex {
        /// Position that the request named.
        index: Index,
    },
}

/// Synced content that can't be read back.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
#[displaydoc(
    "{file} is damaged at byte {offset}: {reason}; help: move the data folder away and rejoin under a new identity"
)]
pub struct Damage {
    /// File in the data folder.
    pub file: String,
    /// Offset of the first unreadable record.
    pub offset: u64,
    /// What was found.
    pub reason: String,
}
