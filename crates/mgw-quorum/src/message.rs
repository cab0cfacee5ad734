//! Messages between replicas. They can be encoded by codecs that write no field names, such as
//! `postcard`.

use crate::{Entry, Index, ReplicaId, Round, SnapshotMeta, Term};
use mgw_world::Millis;
use serde::{Deserialize, Serialize};

/// A message with the full identities of its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver. A replica of another identity drops the message.
    pub to: ReplicaId,
    /// Content.
    pub message: Message,
}

/// Requests and answers that replicas exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote would be granted. Doesn't change the term of the receiver.
    PreVote(VoteRequest),
    /// Answer to [`Self::PreVote`].
    PreVoteReply(VoteReply),
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answer to [`Self::Vote`].
    VoteReply(VoteReply),
    /// Entries, or a heartbeat when there are none.
    Append(AppendEntries),
    /// Answer to [`Self::Append`].
    AppendReply(AppendEntriesReply),
    /// One chunk of a snapshot.
    Install(InstallSnapshot),
    /// Answer to [`Self::Install`].
    InstallReply(InstallSnapshotReply),
    /// Tells a voter to start an election at once because the leader transfers leadership to it.
    TimeoutNow {
        /// Term of the leader.
        term: Term,
    },
}

/// Request for a vote or a pre-vote.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Term in which the candidate wants to lead.
    pub term: Term,
    /// Last entry of the candidate.
    pub last_index: Index,
    /// Term of that entry.
    pub last_term: Term,
    /// Whether the leader requested this election for a leadership transfer. Voters then grant
    /// their vote even while the leader may hold a lease.
    pub transfer: bool,
}

/// Answer to a request for a vote or a pre-vote.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Term of the request when granted, else the term of the receiver.
    pub term: Term,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Entries of the leader that follow `prev_index`, or a heartbeat when there are none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// Term of the leader.
    pub term: Term,
    /// Index of the entry just before `entries`.
    pub prev_index: Index,
    /// Term of the entry at `prev_index`.
    pub prev_term: Term,
    /// Entries to append, possibly none.
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    pub commit: Index,
    /// Heartbeat round, returned in the answer.
    pub round: Round,
    /// Clock of the leader at sending, returned in the answer.
    pub sent_ms: Millis,
}

/// Answer to [`AppendEntries`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntriesReply {
    /// Term of the follower.
    pub term: Term,
    /// Whether the follower holds the entry at `prev_index`.
    pub outcome: AppendOutcome,
    /// Round of the request.
    pub round: Round,
    /// Clock of the leader in the request.
    pub sent_ms: Millis,
}

/// Whether a follower's log holds the entry before the appended ones, with the same term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log equals that of the leader up to this entry, which is synced.
    Matched(Index),
    /// The logs differ. The leader should resend from the entry after this index.
    Conflict(Index),
}

/// One chunk of a snapshot that the leader sends to a member whose log is too far behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// Term of the leader.
    pub term: Term,
    /// Position and members of the snapshot.
    pub meta: SnapshotMeta,
    /// Offset of the chunk in the snapshot data, in bytes.
    pub offset_bytes: u64,
    /// Bytes of the chunk.
    pub data: Vec<u8>,
    /// Whether this is the last chunk.
    pub done: bool,
    /// Heartbeat round, returned in the answer.
    pub round: Round,
    /// Clock of the leader at sending, returned in the answer.
    pub sent_ms: Millis,
}

/// Answer to [`InstallSnapshot`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshotReply {
    /// Term of the follower.
    pub term: Term,
    /// Last index that the snapshot includes.
    pub index: Index,
    /// Bytes received so far.
    pub received_bytes: u64,
    /// Whether the snapshot is synced and in use.
    pub installed: bool,
    /// Round of the request.
    pub round: Round,
    /// Clock of the leader in the request.
    pub sent_ms: Millis,
}

impl Message {
    /// Term of the sender. For a vote request, and for a vote granted, it is the requested term.
    #[must_use]
    pub const fn term(&self) -> Term {
        match self {
            Self::PreVote(request) | Self::Vote(request) => request.term,
            Self::PreVoteReply(reply) | Self::VoteReply(reply) => reply.term,
            Self::Append(append) => append.term,
            Self::AppendReply(reply) => reply.term,
            Self::Install(install) => install.term,
            Self::InstallReply(reply) => reply.term,
            Self::TimeoutNow { term } => *term,
        }
    }
}
