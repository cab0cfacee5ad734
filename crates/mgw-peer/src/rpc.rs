//! The calls between processes.

use std::net::SocketAddr;

use mgw_contract::operator::DrainRequest;
use mgw_member::{Exchange, ExchangeReply};
use mgw_quorum::{Envelope, ReplicaId};
use mgw_state::{Command, ConfigUpdate, Digest, Reply};
use mgw_world::{Millis, NodeName, Revision};
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
pub struct ConfigQuestion {
    /// Revision that the asker has.
    pub have: Revision,
    /// Digest of the configuration held.
    pub digest: Option<Digest>,
    /// Drains that the asker knows, as [`ConfigAnswer::drains`] gave them.
    pub drains: Vec<DrainRequest>,
    /// How long the answer may wait for a newer revision.
    pub wait_ms: Millis,
}

/// The newest accepted configuration, confirmed by a quorum while the call was running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigAnswer {
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
    async fn config(question: ConfigQuestion) -> Result<ConfigAnswer, PeerError>;
    /// Tells whether the control may take part in founding a group.
    async fn founding() -> Result<FoundingState, PeerError>;
    /// Asks to be taken in as a learner.
    async fn join(request: JoinRequest) -> Result<(), PeerError>;
}
