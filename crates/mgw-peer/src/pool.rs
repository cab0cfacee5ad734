//! Pool of RPC clients, with one connection per address.

use std::collections::BTreeMap;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mgw_world::Millis;
use parking_lot::Mutex;
use tarpc::client::{self, RpcError};
use tarpc::context::Context;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::warn;

use crate::codec::Postcard;
use crate::serve::frame;
use crate::tls::{GroupIdentity, PeerStream};
use crate::tunnel::{self, Frames};
use crate::{ByteStream, PeerError, PeerRpcClient, TunnelFailure, TunnelRequest};

/// Time within which a connection, TLS handshake included, must be established.
const CONNECT_TIMEOUT_MS: Millis = Millis(500);

/// Why a call to another process returned no response.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum CallFailure {
    /// connection refused: no process listens at the address; nothing was sent
    NothingListens,
    /// no connection could be established; nothing was sent
    NotConnected,
    /// the connection broke or the response timed out; the call may have been executed
    NoAnswer,
    /// {0}
    Refused(PeerError),
}

impl CallFailure {
    /// Whether the call certainly had no effect.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        match self {
            Self::NothingListens | Self::NotConnected => true,
            Self::NoAnswer => false,
            Self::Refused(error) => !matches!(error, PeerError::NotConfirmed | PeerError::Ending),
        }
    }
}

/// Holds one client per address and reconnects at the next call after a failure.
#[derive(Debug, Default)]
pub struct PeerPool {
    clients: Mutex<BTreeMap<SocketAddr, PeerRpcClient>>,
    identity: Option<GroupIdentity>,
}

impl PeerPool {
    /// Creates a pool. With an identity, its connections use mutual TLS with the group's
    /// certificates.
    #[must_use]
    pub fn new(identity: Option<GroupIdentity>) -> Self {
        Self {
            clients: Mutex::default(),
            identity,
        }
    }

    /// Calls the process at an address.
    ///
    /// # Errors
    /// When no connection can be established or no response arrives within the timeout.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        call_timeout: Millis,
        call: impl FnOnce(PeerRpcClient, Context) -> F,
    ) -> Result<T, CallFailure>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client(address).await?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + call_timeout.to_duration() + Duration::from_millis(1);
        let response = timeout(call_timeout.to_duration(), call(client, context)).await;
        match response {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(_)) => {
                self.clients.lock().remove(&address);
                Err(CallFailure::NoAnswer)
            }
            Err(_) => {
                // The connection may be dead without having been closed; the next call opens a new
                // one.
                self.clients.lock().remove(&address);
                Err(CallFailure::NoAnswer)
            }
        }
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerRpcClient, CallFailure> {
        if let Some(client) = self.clients.lock().get(&address) {
            return Ok(client.clone());
        }
        let frames = self.open_frames(address).await?;
        let transport = tarpc::serde_transport::new(frames, Postcard);
        let client = PeerRpcClient::new(client::Config::default(), transport).spawn();
        self.clients.lock().insert(address, client.clone());
        Ok(client)
    }

    /// Opens a tunnel to a target through the process at an address.
    ///
    /// # Errors
    /// When no connection to the process can be established, or it opens none to the target within the timeout.
    /// Nothing was sent to the target then.
    pub async fn open_tunnel(
        &self,
        address: SocketAddr,
        open_timeout: Millis,
        request: &TunnelRequest,
    ) -> Result<Box<dyn ByteStream>, TunnelFailure> {
        let opening = async {
            let frames = self.open_frames(address).await;
            tunnel::ask(frames.map_err(TunnelFailure::NoPeer)?, request).await
        };
        timeout(open_timeout.to_duration(), opening)
            .await
            .unwrap_or(Err(TunnelFailure::NoPeer(CallFailure::NoAnswer)))
    }

    async fn open_frames(&self, address: SocketAddr) -> Result<Frames, CallFailure> {
        let connected = timeout(CONNECT_TIMEOUT_MS.to_duration(), self.connect(address)).await;
        let stream = connected.map_err(|_| CallFailure::NotConnected)??;
        Ok(frame(stream))
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerStream, CallFailure> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => CallFailure::NothingListens,
                _ => CallFailure::NotConnected,
            })?;
        let _ = stream.set_nodelay(true);
        let Some(identity) = &self.identity else {
            return Ok(PeerStream::Left(stream));
        };
        identity.connect(stream).await.map_err(|error| {
            warn!(%address, %error, "TLS handshake failed: the peer may not belong to the group");
            CallFailure::NotConnected
        })
    }
}
