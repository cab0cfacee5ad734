//! Messages to the replica actor.

use std::collections::BTreeSet;

use mgw_contract::operator::ReplicaStatus;
use mgw_peer::PeerError;
use mgw_quorum::{Envelope, MemberChange, Membership, ReplicaId, Role, Term, WriteId};
use mgw_state::{Action, Reply};
use mgw_world::{Millis, NodeName};
use tokio::sync::oneshot;

/// Where the response to a call of the actor is sent.
pub type ResponseSender<T> = oneshot::Sender<Result<T, PeerError>>;

/// State of the replica, for operators and for the background tasks of this control.
#[derive(Debug, Clone)]
pub struct ReplicaReport {
    /// Identity of this replica.
    pub id: ReplicaId,
    /// Its current role in the consensus protocol.
    pub role: Role,
    /// Term that this replica is in.
    pub term: Term,
    /// Name of the leader, if it is known.
    pub leader: Option<NodeName>,
    /// Whether it is the leader and its lease is valid.
    pub holds_lease: bool,
    /// End of that lease on this process's clock; none when it holds no lease.
    pub lease_until: Option<Millis>,
    /// Voters and learners of the group.
    pub membership: Membership,
    /// Members that responded to this leader recently.
    pub reachable: BTreeSet<ReplicaId>,
    /// Reachable learners that may be promoted.
    pub caught_up: BTreeSet<ReplicaId>,
    /// Status of all members, as operators see it.
    pub replicas: Vec<ReplicaStatus>,
    /// Description of the damage found in the data folder, if there is any.
    pub damage: Option<String>,
    /// Whether a write waits for space on the disk.
    pub is_disk_full: bool,
    /// Number of syncs since the data folder was opened.
    pub sync_count: u64,
}

/// Messages to the replica actor.
#[derive(Debug)]
pub enum ReplicaMessage {
    /// Process messages of other replicas.
    Deliver(Vec<Envelope>),
    /// Commit a command.
    Submit(Box<Action>, ResponseSender<Reply>),
    /// Respond once a quorum has confirmed that this replica is the leader and everything committed
    /// before the message is applied.
    Read(ResponseSender<()>),
    /// Change the group's membership.
    Change(MemberChange, ResponseSender<()>),
    /// Transfer leadership to another voter, if this replica is the leader.
    TransferLeadership,
    /// Respond with the state of the replica.
    Describe(oneshot::Sender<ReplicaReport>),
    /// A write waits for space on the disk.
    DiskFull,
    /// A write is on disk; with the number of syncs since the folder was opened.
    Synced(WriteId, u64),
    /// Run the replica's timers: elections, heartbeats and queued reads.
    Tick,
    /// Carry out the output that the replica has accumulated.
    Flush,
}
