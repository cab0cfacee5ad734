//! Server side of the calls between processes.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

use mgw_world::Millis;
use tarpc::serde_transport::Transport;
use tarpc::server::BaseChannel;
use tarpc::{ClientMessage, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;
use tracing::warn;

use crate::codec::{MAX_FRAME_BYTES, Postcard};
use crate::tls::{GroupIdentity, PeerStream};
use crate::tunnel::{FirstFrame, Frames, IncomingTunnel, read_first_frame};
use crate::{PeerRpcRequest, PeerRpcResponse};

/// Time within which the TLS handshake of an accepted connection must end.
const ACCEPT_TIMEOUT_MS: Millis = Millis(2_000);

/// Serves a tunnel that another process asks for; returns at once.
pub type TunnelHandler = Arc<dyn Fn(IncomingTunnel) + Send + Sync>;
/// Framed connection from one other process.
pub type PeerTransport =
    Transport<PeerStream, ClientMessage<PeerRpcRequest>, Response<PeerRpcResponse>, Postcard>;
/// Server channel that yields the requests on one such connection.
pub type PeerChannel = BaseChannel<PeerRpcRequest, PeerRpcResponse, PeerTransport>;

/// Binds the TCP listener for calls of other processes.
///
/// # Errors
/// When the address can't be bound.
pub async fn bind_peer_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts connections of other processes until `stop` is cancelled, and passes each of them to
/// `handle_channel`, which spawns the serving of its requests and returns at once. With an identity,
/// only connections whose TLS handshake proves that the peer belongs to the group are passed on.
pub async fn serve_peers(
    listener: TcpListener,
    identity: Option<GroupIdentity>,
    handle_channel: impl Fn(PeerChannel) + Send + Sync + 'static,
    stop: CancellationToken,
) {
    serve_peers_and_tunnels(listener, identity, handle_channel, None, stop).await;
}

/// As [`serve_peers`], and passes each tunnel that is asked for to `handle_tunnel`, which returns at once.
pub async fn serve_peers_and_tunnels(
    listener: TcpListener,
    identity: Option<GroupIdentity>,
    handle_channel: impl Fn(PeerChannel) + Send + Sync + 'static,
    handle_tunnel: Option<TunnelHandler>,
    stop: CancellationToken,
) {
    let handle_channel = Arc::new(handle_channel);
    while let Some(connection) = stop.run_until_cancelled(listener.accept()).await {
        let Ok((stream, peer)) = connection else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handle_channel = Arc::clone(&handle_channel);
        let handle_tunnel = handle_tunnel.clone();
        let identity = identity.clone();
        tokio::spawn(async move {
            let frames = match authenticate(identity.as_ref(), stream).await {
                Ok(stream) => frame(stream),
                Err(error) => {
                    warn!(%peer, %error, "refused a peer: TLS handshake failed");
                    return;
                }
            };
            let Some(handle_tunnel) = handle_tunnel else {
                handle_channel(open_channel(frames));
                return;
            };
            match read_first_frame(frames).await {
                Some(FirstFrame::Tunnel(tunnel)) => handle_tunnel(tunnel),
                Some(FirstFrame::Calls(frames)) => handle_channel(open_channel(frames)),
                None => {}
            }
        });
    }
}

async fn authenticate(
    identity: Option<&GroupIdentity>,
    stream: TcpStream,
) -> std::io::Result<PeerStream> {
    let Some(identity) = identity else {
        return Ok(PeerStream::Left(stream));
    };
    let accepted = timeout(ACCEPT_TIMEOUT_MS.to_duration(), identity.accept(stream)).await;
    accepted.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

/// Divides a connection between processes into frames.
pub(crate) fn frame(stream: PeerStream) -> Frames {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream)
}

fn open_channel(frames: Frames) -> PeerChannel {
    BaseChannel::with_defaults(tarpc::serde_transport::new(frames, Postcard))
}

/// Makes the `handle_channel` closure of [`serve_peers`] from a server that implements
/// [`crate::PeerRpc`].
///
/// This is a macro because only for a concrete server type the compiler knows that the futures of
/// its responses are `Send`.
#[macro_export]
macro_rules! channel_handler {
    ($server:expr) => {{
        let server = $server;
        move |channel: $crate::PeerChannel| {
            use $crate::reexport::{Channel, StreamExt};
            let requests = channel.execute($crate::PeerRpc::serve(server.clone()));
            tokio::spawn(requests.for_each(|response| async move {
                tokio::spawn(response);
            }));
        }
    }};
}
