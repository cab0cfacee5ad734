//! Errors that a replica returns for a request, and the report of a damaged data folder.

use crate::{Index, ReplicaId};

/// Why a replica refused a request.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum QuorumError {
    /// this replica is not the leader; help: ask {leader:?}, or any other replica if that is None
    NotLeader {
        /// Leader of the current term, None if unknown.
        leader: Option<ReplicaId>,
    },
    /// the leader has not committed an entry of its term yet; help: retry after a round trip
    NotReady,
    /// the membership change at index {index} is not committed yet; help: retry once it is
    ChangePending {
        /// Index of the earlier change.
        index: Index,
    },
    /// replica {id} lacks the member role needed here; help: list the members, check the disk id
    WrongMember {
        /// Replica that the request named.
        id: ReplicaId,
    },
    /// learner {id} lags behind at match index {matched}; help: retry once it has caught up
    LearnerBehind {
        /// Learner that the request named.
        id: ReplicaId,
        /// Match index of the learner: the last entry that it is known to hold.
        matched: Index,
    },
    /// fewer reachable voters than a quorum would remain; help: add or repair a voter first
    QuorumAtRisk,
    /// leadership is being transferred to {target}; help: send the request to it
    Transferring {
        /// Voter that shall become the leader.
        target: ReplicaId,
    },
    /// can't compact the log up to index {index}; help: pass an applied index after the snapshot
    BadSnapshotIndex {
        /// Index that the request named.
        index: Index,
    },
}

/// Report of synced content that can't be read back.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
#[displaydoc(
    "{file} is damaged at byte {offset}: {reason}; help: move the data folder away and rejoin under a new identity"
)]
pub struct Damage {
    /// File in the data folder.
    pub file: String,
    /// Byte offset of the first unreadable record.
    pub offset: u64,
    /// What is wrong with the record or the file.
    pub reason: String,
}
