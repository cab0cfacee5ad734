//! Clients of other processes, one connection for each address.

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
use tokio_util::codec::LengthDelimitedCodec;
use tracing::warn;

use crate::codec::{MAX_FRAME_BYTES, Postcard};
use crate::tls::{GroupIdentity, PeerStream};
use crate::{PeerError, PeerRpcClient};

/// Time within which a connection must come about.
const CONNECT_TIMEOUT_MS: Millis = Millis(500);

/// Why a call to another process brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum CallFailure {
    /// the machine answered that nothing listens there; nothing was sent
    NothingListens,
    /// no connection came about; nothing was sent
    NotConnected,
    /// the connection broke or the answer did not come in time; the call may have been taken
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

/// Keeps a client for each address and connects anew when one breaks.
#[derive(Debug, Default)]
pub struct PeerPool {
    clients: Mutex<BTreeMap<SocketAddr, PeerRpcClient>>,
    identity: Option<GroupIdentity>,
}

impl PeerPool {
    /// A pool whose connections are proven by the group's certificates, if there are any.
    #[must_use]
    pub fn new(identity: Option<GroupIdentity>) -> Self {
        Self {
            clients: Mutex::default(),
            identity,
        }
    }

    /// Calls a process.
    ///
    /// # Errors
    /// When there is no connection or no answer in time.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        limit: Millis,
        call: impl FnOnce(PeerRpcClient, Context) -> F,
    ) -> Result<T, CallFailure>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client(address).await?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + limit.to_duration() + Duration::from_millis(1);
        let answer = timeout(limit.to_duration(), call(client, context)).await;
        match answer {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(_)) => {
                self.clients.lock().remove(&address);
                Err(CallFailure::NoAnswer)
            }
            Err(_) => {
                // A connection may have gone silent for good; the next call opens another one.
                self.clients.lock().remove(&address);
                Err(CallFailure::NoAnswer)
            }
        }
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerRpcClient, CallFailure> {
        if let Some(client) = self.clients.lock().get(&address) {
            return Ok(client.clone());
        }
        let connecting = timeout(CONNECT_TIMEOUT_MS.to_duration(), self.connect(address)).await;
        let stream = connecting.map_err(|_| CallFailure::NotConnected)??;
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Postcard);
        let client = PeerRpcClient::new(client::Config::default(), transport).spawn();
        self.clients.lock().insert(address, client.clone());
        Ok(client)
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
            warn!(%address, %error, "the other process didn't prove that it belongs to the group");
            CallFailure::NotConnected
        })
    }
}
