//! Connections to targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use mgw_world::{Clock, Millis};
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Time within which a connection to a target must come about; beyond it the target counts as not
/// reachable. Targets are a fraction of a millisecond away.
const CONNECT_TIMEOUT_MS: Millis = Millis(350);
/// Time after which unacknowledged data ends a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time that a connection stays idle, whatever the target allows: one that has gone silent
/// shows only at its next use.
const MAX_IDLE_MS: Millis = Millis(4_000);
/// Most idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 48;

/// A connection that is in use; dropping it closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    /// Where it leads.
    pub address: SocketAddr,
    /// Whether it was used before.
    pub is_reused: bool,
    pub(super) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
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

/// Idle connections, and how new ones are made.
pub struct ConnectionPool {
    clock: Clock,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// No connections yet.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
        }
    }

    /// An idle connection that still looks open, else a new one.
    ///
    /// # Errors
    /// When no connection comes about; nothing was sent.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        needs_new_connection: bool,
    ) -> std::io::Result<PooledConnection> {
        if !needs_new_connection && let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let connecting = timeout(CONNECT_TIMEOUT_MS.to_duration(), connect(address));
        connecting
            .await
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
    }

    /// Takes a connection back whose answer was read to its end.
    pub fn put_back(&self, mut connection: PooledConnection) {
        if connection.sender.is_closed() {
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

    /// Drops the idle connections to a target, which may have gone silent like the one just used.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }

    /// Drops connections that were idle for long.
    pub fn drop_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        for connections in idle.values_mut() {
            connections
                .retain(|it| now - it.since < MAX_IDLE_MS && !it.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(it) = connections.pop() {
            let is_young = now - it.since < MAX_IDLE_MS;
            if is_young && it.connection.sender.is_ready() {
                return Some(it.connection);
            }
        }
        None
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<PooledConnection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    // Its end shows in the sender and in the bodies that it carries.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(PooledConnection {
        address,
        is_reused: false,
        sender,
        task: task.abort_handle(),
    })
}
