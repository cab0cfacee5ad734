//! The RPC service between processes, and its messages.

use std::net::SocketAddr;

use mgw_contract::operator::DrainRequest;
use mgw_member::{Exchange, ExchangeReply};
use mgw_quorum::{Envelope, ReplicaId};
use mgw_route::{
    EntryLoad, EvidenceReport, LimitReport, LimitUpdate, OtherEntriesLoad, QuarantineUpdate,
};
use mgw_routing::{PackedRouting, PartPosition, RoutingPart};
use mgw_state::{Command, ConfigUpdate, Digest, Reply};
use mgw_world::{Millis, NodeName, Revision, RoutingVersion};
use serde::{Deserialize, Serialize};

/// Why a process didn't execute a call.
#[derive(
    Debug, Clone, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display, derive_more::Error,
)]
pub enum PeerError {
    /// this process holds no durable state; ask a control
    NotAControl,
    /// this control isn't the leader; the leader may be {leader:?}
    NotLeader {
        /// Name of the leader, if it is known.
        leader: Option<NodeName>,
    },
    /// no quorum confirmed the call in time; it may still take effect
    NotConfirmed,
    /// the process is ending
    Ending,
    /// refused: {message}
    Refused {
        /// Why the call was refused.
        message: String,
    },
}

/// Asks for the newest accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Revision that the caller has.
    pub have: Revision,
    /// Digest of the configuration that the caller has.
    pub digest: Option<Digest>,
    /// Drains that the caller has, as it got them in [`ConfigResponse::drains`].
    pub drains: Vec<DrainRequest>,
    /// How long the control may hold the request open until the revision or the drains change.
    pub wait_ms: Millis,
}

/// The newest accepted configuration, confirmed by a quorum during the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigResponse {
    /// Update from the caller's revision to the newest one; none if the caller has the newest.
    pub update: Option<ConfigUpdate>,
    /// Entries and targets that operators drained, entries first.
    pub drains: Vec<DrainRequest>,
}

/// Whether a control may take part in founding a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundingState {
    /// Replica identity stored in the control's data folder.
    pub replica: ReplicaId,
    /// Whether its log is empty, so that a new group may be founded.
    pub is_empty: bool,
}

/// Asks the leader to add a replica to the group as a learner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of the replica that joins.
    pub replica: ReplicaId,
    /// Address at which the other processes reach it.
    pub address: SocketAddr,
}

/// Long poll: asks a control to respond as soon as its own record or its routing version changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Requests the changes of the control's own record; states what the caller has of it.
    pub exchange: Exchange,
    /// Version of the routing document that the control last reported to the caller.
    pub routing: RoutingVersion,
    /// How long the control may hold the request open until there is a change.
    pub wait_ms: Millis,
}

/// Changes at a control, or the confirmation that there are none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Changes of the control's own record that the caller doesn't have.
    pub reply: ExchangeReply,
    /// Version of the routing document that the control holds.
    pub routing: RoutingVersion,
    /// Other controls that this control knows, so that a caller which has just started discovers
    /// all of them at once.
    pub controls: Vec<SocketAddr>,
}

/// Asks for the newest routing document, confirmed by a quorum.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingRequest {
    /// Version that the caller has.
    pub have: RoutingVersion,
}

/// Asks for a part of a routing document that a control holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingPartRequest {
    /// Version that the caller has; no part is needed unless the control has a newer one.
    pub have: RoutingVersion,
    /// Where the caller's transfer goes on; none to begin with the first part.
    pub position: Option<PartPosition>,
}

/// A part of a routing document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingPartResponse {
    /// Newest version that the control holds.
    pub held: RoutingVersion,
    /// The part; none if the caller has the newest version. It is the first part of the newest
    /// version if the control doesn't hold the one that was asked for.
    pub part: Option<RoutingPart>,
}

/// What an entry tells the control that collects the reports of all entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// Load on the targets.
    pub load: EntryLoad,
    /// Ends of targets, and the requests under which they ended.
    pub evidence: EvidenceReport,
    /// Rate limits of targets, and the tokens that the entry gives back and asks for.
    pub limits: LimitReport,
}

/// What that control tells an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OthersReport {
    /// Sum of the load of all other entries.
    pub load: OtherEntriesLoad,
    /// Requests that are to be kept from targets.
    pub quarantine: QuarantineUpdate,
    /// Rate limits of targets, and the entry's tokens.
    pub limits: LimitUpdate,
}

/// Calls between processes. A process that isn't a control responds to the calls meant for controls
/// with [`PeerError::NotAControl`].
#[tarpc::service]
pub trait PeerRpc {
    /// Exchanges the differences of two processes' views (anti-entropy).
    async fn exchange(exchange: Exchange) -> ExchangeReply;
    /// Delivers messages of the replicated log. The result acknowledges the delivery only: replies
    /// to the messages are delivered by calls in the other direction.
    async fn deliver(messages: Vec<Envelope>) -> Result<(), PeerError>;
    /// Commits a command and returns the state machine's reply to it.
    async fn submit(command: Command) -> Result<Reply, PeerError>;
    /// Returns the newest accepted configuration.
    async fn config(request: ConfigRequest) -> Result<ConfigResponse, PeerError>;
    /// Returns whether the control may take part in founding a group.
    async fn founding() -> Result<FoundingState, PeerError>;
    /// Adds the calling replica to the group as a learner.
    async fn join(request: JoinRequest) -> Result<(), PeerError>;
    /// Returns the changes at this control: at once if there are any, else when there are.
    async fn watch(request: WatchRequest) -> Result<WatchResponse, PeerError>;
    /// Reports what an entry knows of targets, and returns what the others know.
    async fn share_use(entry: NodeName, report: EntryReport) -> Result<OthersReport, PeerError>;
    /// Returns the newest routing document; none when the caller has that version. Only the leader
    /// responds.
    async fn routing(request: RoutingRequest) -> Result<Option<PackedRouting>, PeerError>;
    /// Returns a part of a routing document that the control holds.
    async fn routing_part(request: RoutingPartRequest) -> Result<RoutingPartResponse, PeerError>;
    /// Reports what an entry knows of ended targets while the control that collects the reports doesn't
    /// respond, and returns what this control knows.
    async fn exchange_evidence(
        entry: NodeName,
        report: EvidenceReport,
    ) -> Result<QuarantineUpdate, PeerError>;
    /// Keeps what an entry knows of ended targets, in case the control that collects the reports is lost.
    async fn copy_evidence(entry: NodeName, report: EvidenceReport) -> Result<(), PeerError>;
    /// Removes a voter that stops from the group, if the others are stronger without it. Only the leader
    /// responds, once the removal is committed.
    async fn leave(replica: ReplicaId) -> Result<(), PeerError>;
}
