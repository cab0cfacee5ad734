//! Answers to the calls of other processes.

use std::sync::Arc;

use mgw_member::{Exchange, ExchangeReply};
use mgw_peer::{ConfigAnswer, ConfigQuestion, FoundingState, JoinRequest, PeerError, PeerRpc};
use mgw_quorum::Envelope;
use mgw_state::{Command, Reply};
use tarpc::context::Context;

use crate::app::App;

/// Serves the calls of other processes.
#[derive(Clone)]
pub struct PeerServer {
    /// The entry.
    pub app: Arc<App>,
}

impl PeerRpc for PeerServer {
    async fn exchange(self, _: Context, exchange: Exchange) -> ExchangeReply {
        self.app
            .members
            .view
            .lock()
            .take_exchange(&exchange, self.app.clock.now())
    }

    async fn deliver(self, _: Context, _: Vec<Envelope>) -> Result<(), PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn submit(self, _: Context, _: Command) -> Result<Reply, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn config(self, _: Context, _: ConfigQuestion) -> Result<ConfigAnswer, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn founding(self, _: Context) -> Result<FoundingState, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn join(self, _: Context, _: JoinRequest) -> Result<(), PeerError> {
        Err(PeerError::NotAControl)
    }
}
