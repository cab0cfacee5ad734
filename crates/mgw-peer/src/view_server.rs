//! RPC server of a process that isn't a control and so holds no durable state.

use std::sync::Arc;

use mgw_member::{Exchange, ExchangeReply, View};
use mgw_quorum::{Envelope, ReplicaId};
use mgw_route::{EvidenceReport, QuarantineUpdate};
use mgw_routing::PackedRouting;
use mgw_state::{Command, Reply};
use mgw_world::{Clock, NodeName};
use parking_lot::Mutex;
use tarpc::context::Context;

use crate::{
    ConfigRequest, ConfigResponse, EntryReport, FoundingState, JoinRequest, OthersReport,
    PeerError, PeerRpc, RoutingPartRequest, RoutingPartResponse, RoutingRequest, WatchRequest,
    WatchResponse,
};

/// Exchanges views and refuses all calls that are meant for controls.
#[derive(Debug, Clone)]
pub struct ViewServer {
    /// The view of this process.
    pub view: Arc<Mutex<View>>,
    /// The clock that the view was started with.
    pub clock: Clock,
}

impl PeerRpc for ViewServer {
    async fn exchange(self, _: Context, exchange: Exchange) -> ExchangeReply {
        let now = self.clock.now();
        self.view.lock().handle_exchange(&exchange, now)
    }

    async fn deliver(self, _: Context, _: Vec<Envelope>) -> Result<(), PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn submit(self, _: Context, _: Command) -> Result<Reply, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn config(self, _: Context, _: ConfigRequest) -> Result<ConfigResponse, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn founding(self, _: Context) -> Result<FoundingState, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn join(self, _: Context, _: JoinRequest) -> Result<(), PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn leave(self, _: Context, _: ReplicaId) -> Result<(), PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn watch(self, _: Context, _: WatchRequest) -> Result<WatchResponse, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn exchange_evidence(
        self,
        _: Context,
        _: NodeName,
        _: EvidenceReport,
    ) -> Result<QuarantineUpdate, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn copy_evidence(
        self,
        _: Context,
        _: NodeName,
        _: EvidenceReport,
    ) -> Result<(), PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn share_use(
        self,
        _: Context,
        _: NodeName,
        _: EntryReport,
    ) -> Result<OthersReport, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn routing(
        self,
        _: Context,
        _: RoutingRequest,
    ) -> Result<Option<PackedRouting>, PeerError> {
        Err(PeerError::NotAControl)
    }
    async fn routing_part(
        self,
        _: Context,
        _: RoutingPartRequest,
    ) -> Result<RoutingPartResponse, PeerError> {
        Err(PeerError::NotAControl)
    }
}
