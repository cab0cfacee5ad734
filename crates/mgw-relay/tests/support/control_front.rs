//! Stands before a control: passes fetches of the routing document on to it, and tells relays the
//! version that a test wants them to hear.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use mgw_member::{Exchange, ExchangeReply};
use mgw_peer::{
    ConfigRequest, ConfigResponse, EntryReport, FoundingState, JoinRequest, OthersReport,
    PeerError, PeerPool, PeerRpc, RoutingPartRequest, RoutingPartResponse, RoutingRequest,
    WatchRequest, WatchResponse, bind_peer_listener, channel_handler, serve_peers,
};
use mgw_quorum::{Envelope, ReplicaId};
use mgw_route::{EvidenceReport, QuarantineUpdate};
use mgw_routing::PackedRouting;
use mgw_state::{Command, Reply};
use mgw_testkit::free_address;
use mgw_world::{Millis, NodeName, RoutingVersion};
use parking_lot::Mutex;
use tarpc::context::Context;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

const CALL_TIMEOUT_MS: Millis = Millis(5_000);

/// What a front tells relays.
#[derive(Debug, Default)]
pub struct FrontState {
    reported: AtomicU64,
    refuses: AtomicBool,
    refuses_every_second: AtomicBool,
    calls: AtomicU64,
    /// Positions of the parts that were sent, in bytes.
    sent_offsets: Mutex<Vec<u64>>,
}

/// A server that relays take for a control.
#[derive(Clone)]
pub struct ControlFront {
    control: SocketAddr,
    state: Arc<FrontState>,
    pool: Arc<PeerPool>,
}

impl ControlFront {
    /// Starts a front of `control` that reports the version `reported`; returns its address.
    pub async fn start(control: SocketAddr, reported: u64) -> SocketAddr {
        let state = FrontState::default();
        state.report(reported);
        Self::start_with(control, Arc::new(state)).await
    }

    /// Starts a front whose state the test changes.
    pub async fn start_with(control: SocketAddr, state: Arc<FrontState>) -> SocketAddr {
        let address = free_address();
        let front = Self {
            control,
            state,
            pool: Arc::new(PeerPool::new(None)),
        };
        tokio::spawn(serve_peers(
            bind_peer_listener(address).await.unwrap(),
            None,
            channel_handler!(front.clone()),
            CancellationToken::new(),
        ));
        address
    }
}

impl FrontState {
    /// Sets the version that relays hear.
    pub fn report(&self, version: u64) {
        self.reported.store(version, Ordering::Relaxed);
    }

    /// Sets whether fetches of documents are refused.
    pub fn refuse(&self, refuses: bool) {
        self.refuses.store(refuses, Ordering::Relaxed);
    }

    /// Sets whether every second fetch of a part is refused.
    pub fn refuse_every_second(&self) {
        self.refuses_every_second.store(true, Ordering::Relaxed);
    }

    /// Positions of the parts that were sent, in the order in which they were asked for.
    pub fn sent_offsets(&self) -> Vec<u64> {
        self.sent_offsets.lock().clone()
    }

    fn refuses_next(&self) -> bool {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        let is_second = call % 2 == 1 && self.refuses_every_second.load(Ordering::Relaxed);
        is_second || self.refuses.load(Ordering::Relaxed)
    }

    fn reported(&self) -> RoutingVersion {
        RoutingVersion(self.reported.load(Ordering::Relaxed))
    }
}

/// A reply that tells nothing of any node, so that relays don't find the control behind the front.
fn empty_reply(exchange: &Exchange) -> ExchangeReply {
    ExchangeReply {
        from: exchange.from,
        buckets: Vec::new(),
        deltas: Vec::new(),
    }
}

impl PeerRpc for ControlFront {
    async fn exchange(self, _: Context, exchange: Exchange) -> ExchangeReply {
        empty_reply(&exchange)
    }

    async fn leave(self, _: Context, _: ReplicaId) -> Result<(), PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn watch(self, _: Context, request: WatchRequest) -> Result<WatchResponse, PeerError> {
        if request.routing >= self.state.reported() {
            sleep(request.wait_ms.to_duration()).await;
        }
        Ok(WatchResponse {
            reply: empty_reply(&request.exchange),
            routing: self.state.reported(),
            controls: Vec::new(),
        })
    }

    async fn routing_part(
        self,
        _: Context,
        request: RoutingPartRequest,
    ) -> Result<RoutingPartResponse, PeerError> {
        if self.state.refuses_next() {
            return Err(PeerError::NotConfirmed);
        }
        let offset_bytes = request.position.map_or(0, |it| it.offset_bytes);
        self.state.sent_offsets.lock().push(offset_bytes);
        let response = self
            .pool
            .call(
                self.control,
                CALL_TIMEOUT_MS,
                |client, context| async move { client.routing_part(context, request).await },
            )
            .await;
        response.map_err(|_| PeerError::NotConfirmed)?
    }

    async fn routing(
        self,
        _: Context,
        _: RoutingRequest,
    ) -> Result<Option<PackedRouting>, PeerError> {
        Err(PeerError::NotAControl)
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
}
