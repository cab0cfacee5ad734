//! The calls between processes.

use std::net::SocketAddr;

use mgw_contract::operator::DrainRequest;
use mgw_member::{Exchange, ExchangeReply};
use mgw_quorum::{Envelope, ReplicaId};
use mgw_route::{EntryLoad, OtherEntriesLoad};
use mgw_routing::RoutingDocument;
use mgw_state::{Command, ConfigUpdate, Digest, Reply};
use mgw_world::{Millis, NodeName, Revision, RoutingVersion};
use serde::{Deserialize, Serialize};

/// Why a process didn't do what another asked for.
#[derive(
    Debug, Clone, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display, derive_more::Error,
)]
pub enum PeerError {
    /// this process holds no durable state; ask a control
    NotAControl,
    /// this control isn't the leader; the leader may be {leader:?}
    NotLeader {
        /// Name of the leader, if known.
        leader: Option<NodeName>,
    },
    /// no quorum confirmed the call in time; it may still take effect
    NotConfirmed,
    /// the process is ending
    Ending,
    /// refused: {message}
    Refused {
        /// Why.
        message: String,
    },
}

/// Asks for the newest accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Revision that the asker has.
    pub have: Revision,
    /// Digest of the configuration held.
    pub digest: Option<Digest>,
    /// Drains that the asker knows, as [`ConfigResponse::drains`] gave them.
    pub drains: Vec<DrainRequest>,
    /// How long the answer may wait for a newer revision.
    pub wait_ms: Millis,
}

/// The newest accepted configuration, confirmed by a quorum while the call was running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigResponse {
    /// What brings the asker to the newest revision; none if it has it.
    pub update: Option<ConfigUpdate>,
    /// What an operator asked to leave, entries first.
    pub drains: Vec<DrainRequest>,
}

/// Whether a control may take part in founding a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundingState {
    /// The identity of the control's data folder.
    pub replica: ReplicaId,
    /// Whether its log holds nothing yet.
    pub is_empty: bool,
}

/// Asks the leader to take a replica in as a learner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Its identity.
    pub replica: ReplicaId,
    /// Where the other processes reach it.
    pub address: SocketAddr,
}

/// Asks a control to answer as soon as it has news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// What the asker holds of the control's own record.
    pub exchange: Exchange,
    /// Version of the routing document that the asker knows to be held there.
    pub routing: RoutingVersion,
    /// How long the answer may wait for news.
    pub wait_ms: Millis,
}

/// News of a control, or the confirmation that there are none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Differences of the control's own record.
    pub reply: ExchangeReply,
    /// Version of the routing document held there.
    pub routing: RoutingVersion,
    /// Other controls that are known there, so that an asker which has just started finds them all
    /// at once.
    pub controls: Vec<SocketAddr>,
}

/// Asks for the routing document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingRequest {
    /// Version that the asker has.
    pub have: RoutingVersion,
    /// Whether a quorum must confirm that the answer is the newest; only the leader answers then.
    pub confirmed: bool,
}

/// Calls between processes. An entry answers the calls meant for controls with
/// [`PeerError::NotAControl`].
#[tarpc::service]
pub trait PeerRpc {
    /// Exchanges views.
    async fn exchange(exchange: Exchange) -> ExchangeReply;
    /// Delivers messages of the replicated log; there is no answer to the messages themselves.
    async fn deliver(messages: Vec<Envelope>) -> Result<(), PeerError>;
    /// Commits a command and answers with what it brought about.
    async fn submit(command: Command) -> Result<Reply, PeerError>;
    /// Answers with the newest accepted configuration.
    async fn config(question: ConfigRequest) -> Result<ConfigResponse, PeerError>;
    /// Tells whether the control may take part in founding a group.
    async fn founding() -> Result<FoundingState, PeerError>;
    /// Asks to be taken in as a learner.
    async fn join(request: JoinRequest) -> Result<(), PeerError>;
    /// Answers with news of this control, at once or when there are any.
    async fn watch(question: WatchRequest) -> Result<WatchResponse, PeerError>;
    /// Takes an entry's use of targets and answers with that of all others together.
    async fn share_use(entry: NodeName, word: EntryLoad) -> Result<OtherEntriesLoad, PeerError>;
    /// Answers with the routing document held; none when the asker has that version.
    async fn routing(question: RoutingRequest) -> Result<Option<RoutingDocument>, PeerError>;
}
