//! Calls to the replica actor.

use std::sync::Arc;

use mgw_peer::PeerError;
use mgw_quorum::Envelope;
use mgw_state::{Action, Reply, State};
use mgw_world::Millis;
use parking_lot::RwLock;
use ractor::ActorRef;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use super::message::Answer;
use super::{MemberChange, ReplicaMessage, ReplicaReport};

/// The state machine; written by the replica actor only.
pub type SharedState = Arc<RwLock<State>>;

/// State to which nothing was applied yet.
pub fn start_state() -> SharedState {
    Arc::new(RwLock::new(State::default()))
}

/// Calls the replica actor; cheap to clone.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    /// The actor.
    pub actor: ActorRef<ReplicaMessage>,
    /// The state machine as far as it was applied here.
    pub state: SharedState,
    /// Grows with each change of the configuration or of the drains.
    pub config_version: watch::Receiver<u64>,
    /// Time within which a command must be committed.
    pub commit_limit_ms: Millis,
}

impl ReplicaHandle {
    /// Passes on messages of other replicas.
    pub fn deliver(&self, messages: Vec<Envelope>) {
        let _ = self.actor.cast(ReplicaMessage::Deliver(messages));
    }

    /// Commits a command.
    ///
    /// # Errors
    /// When this control doesn't lead, or no quorum confirmed in time.
    pub async fn submit(&self, action: Action) -> Result<Reply, PeerError> {
        self.ask(|answer| ReplicaMessage::Submit(Box::new(action), answer))
            .await
    }

    /// Waits until a quorum confirmed that this control leads, so that `state` holds all that was
    /// committed before the call.
    ///
    /// # Errors
    /// When this control doesn't lead, or no quorum confirmed in time.
    pub async fn confirm_read(&self) -> Result<(), PeerError> {
        self.ask(ReplicaMessage::Read).await
    }

    /// Changes the members of the group.
    ///
    /// # Errors
    /// When this control doesn't lead or the change isn't possible now.
    pub async fn change(&self, change: MemberChange) -> Result<(), PeerError> {
        self.ask(|answer| ReplicaMessage::Change(change, answer))
            .await
    }

    /// Describes the replica; none when the process is ending.
    pub async fn describe(&self) -> Option<ReplicaReport> {
        let (answer, answered) = oneshot::channel();
        self.actor.cast(ReplicaMessage::Describe(answer)).ok()?;
        answered.await.ok()
    }

    async fn ask<T>(
        &self,
        message: impl FnOnce(Answer<T>) -> ReplicaMessage,
    ) -> Result<T, PeerError> {
        let (answer, answered) = oneshot::channel();
        self.actor
            .cast(message(answer))
            .map_err(|_| PeerError::Ending)?;
        match timeout(self.commit_limit_ms.to_duration(), answered).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(PeerError::NotConfirmed),
        }
    }
}
