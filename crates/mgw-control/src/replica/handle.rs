//! Calls to the replica actor.

use std::sync::Arc;

use mgw_peer::PeerError;
use mgw_quorum::{Envelope, MemberChange};
use mgw_state::{Action, Reply, State};
use mgw_world::Millis;
use parking_lot::RwLock;
use ractor::ActorRef;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use super::message::ResponseSender;
use super::{ReplicaMessage, ReplicaReport};

/// The state machine. Only the replica actor writes to it.
pub type SharedState = Arc<RwLock<State>>;

/// Creates a state machine to which no command was applied yet.
pub fn empty_state() -> SharedState {
    Arc::new(RwLock::new(State::default()))
}

/// Calls the replica actor; cheap to clone.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    /// Reference through which messages are sent to the replica actor.
    pub actor: ActorRef<ReplicaMessage>,
    /// State machine with the commands that this replica has applied.
    pub state: SharedState,
    /// Incremented at each change of the configuration, the drains or the routing document.
    pub config_version: watch::Receiver<u64>,
    /// Time within which a command must be committed or a read confirmed.
    pub commit_limit_ms: Millis,
}

impl ReplicaHandle {
    /// Passes messages of other replicas to the actor.
    pub fn deliver(&self, messages: Vec<Envelope>) {
        let _ = self.actor.cast(ReplicaMessage::Deliver(messages));
    }

    /// Commits a command and returns the state machine's reply to it.
    ///
    /// # Errors
    /// When this control isn't the leader, or no quorum confirmed in time.
    pub async fn submit(&self, action: Action) -> Result<Reply, PeerError> {
        self.call(|response_sender| ReplicaMessage::Submit(Box::new(action), response_sender))
            .await
    }

    /// Waits until a quorum has confirmed that this control is the leader, so that `state` holds
    /// everything committed before the call (linearizable read).
    ///
    /// # Errors
    /// When this control isn't the leader, or no quorum confirmed in time.
    pub async fn confirm_read(&self) -> Result<(), PeerError> {
        self.call(ReplicaMessage::Read).await
    }

    /// Changes the group's membership by one replica.
    ///
    /// # Errors
    /// When this control isn't the leader, or the change isn't possible now.
    pub async fn change(&self, change: MemberChange) -> Result<(), PeerError> {
        self.call(|response_sender| ReplicaMessage::Change(change, response_sender))
            .await
    }

    /// Describes the replica; none when the process is ending.
    pub async fn describe(&self) -> Option<ReplicaReport> {
        let (response_sender, response) = oneshot::channel();
        self.actor
            .cast(ReplicaMessage::Describe(response_sender))
            .ok()?;
        response.await.ok()
    }

    async fn call<T>(
        &self,
        message: impl FnOnce(ResponseSender<T>) -> ReplicaMessage,
    ) -> Result<T, PeerError> {
        let (response_sender, response) = oneshot::channel();
        self.actor
            .cast(message(response_sender))
            .map_err(|_| PeerError::Ending)?;
        match timeout(self.commit_limit_ms.to_duration(), response).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(PeerError::NotConfirmed),
        }
    }
}
