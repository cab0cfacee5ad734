//! Messages between replicas. They suit positional codecs.

use crate::{Entry, Index, ReplicaId, Round, SnapshotMeta, Term};
use mgw_world::Millis;
use serde::{Deserialize, Serialize};

/// A message with the full identities of both ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver. A replica of another identity drops the message.
    pub to: ReplicaId,
    /// Content.
    pub message: Message,
}

/// What replicas tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote would be granted. Changes no term.
    PreVote(VoteRequest),
    /// Answer to [`Self::PreVote`].
    PreVoteReply(VoteReply),
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answer to [`Self::Vote`].
    VoteReply(VoteReply),
    /// Entries, or a heartbeat when there are none.
    Append(Append),
    /// Answer to [`Self::Append`].
    AppendReply(AppendReply),
    /// Part of a snapshot.
    Install(InstallChunk),
    /// Answer to [`Self::Install`].
    InstallReply(InstallReply),
    /// Tells a voter to start an election at once because the leader hands over.
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
    /// Whether the leader asked for this election.
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

/// Entries that follow a known position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Term of the leader.
    pub term: Term,
    /// Position before the entries.
    pub prev_index: Index,
    /// Term at that position.
    pub prev_term: Term,
    /// Entries after that position.
    pub entries: Vec<Entry>,
    /// Last committed entry of the leader.
    pub commit: Index,
    /// Heartbeat round, returned in the answer.
    pub round: Round,
    /// Clock of the leader at sending, returned in the answer.
    pub sent_ms: Millis,
}

/// Answer to entries or a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Term of the follower.
    pub term: Term,
    /// Whether the position before the entries was found.
    pub outcome: AppendOutcome,
    /// Round of the request.
    pub round: Round,
    /// Clock of the leader in the request.
    pub sent_ms: Millis,
}

/// Whether a follower found the position before the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log equals that of the leader up to this synced entry.
    Matched(Index),
    /// The leader should continue after this entry.
    Conflict(Index),
}

/// Part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallChunk {
    /// Term of the leader.
    pub term: Term,
    /// Position and members of the snapshot.
    pub meta: SnapshotMeta,
    /// Offset of the part in bytes.
    pub offset_bytes: u64,
    /// The part.
    pub data: Vec<u8>,
    /// Whether this is the last part.
    pub done: bool,
    /// Heartbeat round, returned in the answer.
    pub round: Round,
    /// Clock of the leader at sending, returned in the answer.
    pub sent_ms: Millis,
}

/// Answer to part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallReply {
    /// Term of the follower.
    pub term: Term,
    /// Position of the snapshot.
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
    /// The term that the sender of a request or an answer is in, or asks for.
    #[must_use]
    pub const fn term(&self) -> Term {
        match self {
            Self::PreVote(request) | Self::Vote(request) => request.term,
            Self::PreVoteReply(reply) | Self::VoteReply(reply) => reply.term,
            Self::Append(append) => append.term,
            Self::AppendReply(reply) => reply.term,
            Self::Install(chunk) => chunk.term,
            Self::InstallReply(reply) => reply.term,
            Self::TimeoutNow { term } => *term,
        }
    }
}
