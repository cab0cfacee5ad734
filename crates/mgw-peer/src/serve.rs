//! Serving the calls of other processes.

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
use crate::{PeerRpcRequest, PeerRpcResponse};

/// Time within which a process must prove that it belongs to the group.
const ACCEPT_LIMIT_MS: Millis = Millis(2_000);

/// The connection of one other process.
pub type PeerTransport =
    Transport<PeerStream, ClientMessage<PeerRpcRequest>, Response<PeerRpcResponse>, Postcard>;
/// The calls of one other process.
pub type PeerChannel = BaseChannel<PeerRpcRequest, PeerRpcResponse, PeerTransport>;

/// Opens the port for other processes.
///
/// # Errors
/// When the address can't be bound.
pub async fn bind_peer_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts the connections of other processes until the token is cancelled, and hands each to
/// `answer`, which starts the answering and returns at once. With an identity, only processes that
/// prove to belong to the group are handed on.
pub async fn serve_peers(
    listener: TcpListener,
    identity: Option<GroupIdentity>,
    answer: impl Fn(PeerChannel) + Send + Sync + 'static,
    ended: CancellationToken,
) {
    let answer = Arc::new(answer);
    while let Some(accepted) = ended.run_until_cancelled(listener.accept()).await {
        let Ok((stream, peer)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let answer = Arc::clone(&answer);
        let identity = identity.clone();
        tokio::spawn(async move {
            match prove(identity.as_ref(), stream).await {
                Ok(stream) => answer(open_channel(stream)),
                Err(error) => warn!(%peer, %error, "refused a process that isn't of the group"),
            }
        });
    }
}

async fn prove(identity: Option<&GroupIdentity>, stream: TcpStream) -> std::io::Result<PeerStream> {
    let Some(identity) = identity else {
        return Ok(PeerStream::Left(stream));
    };
    let accepting = timeout(ACCEPT_LIMIT_MS.to_duration(), identity.accept(stream)).await;
    accepting.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

fn open_channel(stream: PeerStream) -> PeerChannel {
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    BaseChannel::with_defaults(tarpc::serde_transport::new(framed, Postcard))
}

/// Makes the `answer` of [`serve_peers`] from a server that implements [`crate::PeerRpc`].
///
/// A macro, since only a concrete server's answers are known to be sendable between threads.
#[macro_export]
macro_rules! answer_peers {
    ($server:expr) => {{
        let server = $server;
        move |channel: $crate::PeerChannel| {
            use $crate::reexport::{Channel, StreamExt};
            let requests = channel.execute($crate::PeerRpc::serve(server.clone()));
            tokio::spawn(requests.for_each(|answer| async move {
                tokio::spawn(answer);
            }));
        }
    }};
}
