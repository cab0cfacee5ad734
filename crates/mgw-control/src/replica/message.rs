//! Messages to the replica actor.

use mgw_contract::operator::ReplicaStatus;
use mgw_peer::PeerError;
use mgw_quorum::{Envelope, Membership, ReplicaId, Role, Term, WriteId};
use mgw_state::{Action, Reply};
use mgw_world::{Millis, NodeName};
use tokio::sync::oneshot;

/// Where the answer to a call goes.
pub type Answer<T> = oneshot::Sender<Result<T, PeerError>>;

/// A change of the group's members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Take a replica in without a vote.
    AddLearner(ReplicaId),
    /// Give a learner a vote.
    Promote(ReplicaId),
    /// Take a replica out.
    Remove(ReplicaId),
}

/// State of the replica, for operators and the leader's duties.
#[derive(Debug, Clone)]
pub struct ReplicaReport {
    /// Its identity.
    pub id: ReplicaId,
    /// What it does at present.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Leader, if known.
    pub leader: Option<NodeName>,
    /// Whether it holds the lease of a leader.
    pub holds_lease: bool,
    /// End of that lease on the clock of this process; none when it holds none.
    pub lease_until: Option<Millis>,
    /// Members of the group.
    pub membership: Membership,
    /// Members that answered this leader lately.
    pub reachable: Vec<ReplicaId>,
    /// All members in the operators' form.
    pub replicas: Vec<ReplicaStatus>,
    /// Damage of the data folder, in words.
    pub damage: Option<String>,
    /// Syncs since the folder was opened.
    pub syncs: u64,
}

/// Messages to the replica actor.
#[derive(Debug)]
pub enum ReplicaMessage {
    /// Messages of other replicas.
    Deliver(Vec<Envelope>),
    /// Commit a command.
    Submit(Box<Action>, Answer<Reply>),
    /// Answered once a quorum confirmed that this replica leads; what was committed before is
    /// applied then.
    Read(Answer<()>),
    /// Change the members.
    Change(MemberChange, Answer<()>),
    /// Hand leadership over, if held.
    HandOver,
    /// Describe the replica.
    Describe(oneshot::Sender<ReplicaReport>),
    /// A write was synced.
    Synced(WriteId, u64),
    /// Time has passed.
    Tick,
    /// Carry out what has gathered.
    Flush,
}
