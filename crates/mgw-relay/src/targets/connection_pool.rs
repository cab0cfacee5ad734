//! Pool of HTTP/1 connections to targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use mgw_peer::ByteStream;
use mgw_serve::{AwaitedHead, GuardedStream, MAX_HEAD_BYTES};
use mgw_world::{Clock, Millis};
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Time within which a connection to a target must be established; after it the target counts as
/// unreachable. The round trip to a target takes a fraction of a millisecond.
const CONNECT_TIMEOUT_MS: Millis = Millis(350);
/// Time after which unacknowledged data closes a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time that a connection stays idle, even if the target allows more: a connection whose
/// peer has vanished is noticed only when it is used again.
const MAX_IDLE_MS: Millis = Millis(4_000);
/// Largest number of idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 48;

/// Opens a TCP connection to a target.
pub type Dial =
    Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, std::io::Result<TcpStream>> + Send + Sync>;

/// The [`Dial`] that connects over the machine's own network.
#[must_use]
pub fn dial_tcp() -> Dial {
    Arc::new(|address| TcpStream::connect(address).boxed())
}

/// A connection to a target. Dropping it closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    /// Address of the target.
    pub address: SocketAddr,
    /// Whether the connection has carried an earlier request.
    pub is_reused: bool,
    /// Whether the connection goes through another entry.
    pub is_tunnelled: bool,
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Tells the connection that the head of an answer is awaited.
    pub(super) awaited_head: AwaitedHead,
    task: AbortHandle,
}

impl PooledConnection {
    /// Sends a request and waits for the head of its answer, of which a bounded number of bytes is read.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.awaited_head.begin();
        let response = self.sender.try_send_request(request).await?;
        self.awaited_head.end();
        Ok(response)
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct IdleConnection {
    connection: PooledConnection,
    since: Millis,
}

/// Keeps idle connections by address and opens new ones.
pub struct ConnectionPool {
    clock: Clock,
    dial: Dial,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(clock: Clock, dial: Dial) -> Self {
        Self {
            clock,
            dial,
            idle: Mutex::default(),
        }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// When no connection can be established in time.
    pub async fn open(&self, address: SocketAddr) -> std::io::Result<PooledConnection> {
        let stream = self.dial(address).await?;
        handshake(address, stream, false).await
    }

    /// Opens a TCP connection that isn't for the pool.
    ///
    /// # Errors
    /// When no connection can be established in time.
    pub async fn dial(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let connecting = timeout(CONNECT_TIMEOUT_MS.to_duration(), (self.dial)(address));
        let connected = connecting.await;
        let stream = connected.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        Ok(stream)
    }

    /// Takes a tunnel to a target for a connection. It serves one request.
    ///
    /// # Errors
    /// When the tunnel has broken.
    pub async fn adopt_tunnel(
        &self,
        address: SocketAddr,
        tunnel: Box<dyn ByteStream>,
    ) -> std::io::Result<PooledConnection> {
        handshake(address, tunnel, true).await
    }

    /// Returns a connection to the pool after its answer was read to the end. A tunnel is closed instead: the entry
    /// that serves it doesn't see what the target says about itself.
    pub fn put_back(&self, mut connection: PooledConnection) {
        if connection.is_tunnelled || connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let since = self.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(IdleConnection { connection, since });
        }
    }

    /// Drops the idle connections to a target that didn't answer in time on another connection:
    /// they may be dead as well.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }

    /// Drops all idle connections.
    pub fn drop_all_idle(&self) {
        self.idle.lock().clear();
    }

    /// Drops connections that were idle for too long or were closed by the target.
    pub fn drop_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        for connections in idle.values_mut() {
            connections
                .retain(|it| now - it.since < MAX_IDLE_MS && !it.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Takes an idle connection that still looks open.
    pub fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(it) = connections.pop() {
            let is_within_limit = now - it.since < MAX_IDLE_MS;
            if is_within_limit && it.connection.sender.is_ready() {
                return Some(it.connection);
            }
        }
        None
    }
}

async fn handshake(
    address: SocketAddr,
    stream: impl ByteStream + 'static,
    is_tunnelled: bool,
) -> std::io::Result<PooledConnection> {
    let stream = GuardedStream::new(stream);
    let awaited_head = stream.awaited_head();
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    // Errors of the connection are reported by the sender and by the bodies of answers.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(PooledConnection {
        address,
        is_reused: false,
        is_tunnelled,
        sender,
        awaited_head,
        task: task.abort_handle(),
    })
}
