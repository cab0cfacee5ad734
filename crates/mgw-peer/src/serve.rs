//! Serving the calls of other processes.

use std::net::SocketAddr;

use tarpc::serde_transport::Transport;
use tarpc::server::BaseChannel;
use tarpc::{ClientMessage, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use crate::codec::{MAX_FRAME_BYTES, Postcard};
use crate::{PeerRpcRequest, PeerRpcResponse};

/// The connection of one other process.
pub type PeerTransport =
    Transport<TcpStream, ClientMessage<PeerRpcRequest>, Response<PeerRpcResponse>, Postcard>;
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
/// `answer`, which starts the answering and returns at once.
pub async fn serve_peers(
    listener: TcpListener,
    answer: impl Fn(PeerChannel),
    ended: CancellationToken,
) {
    while let Some(accepted) = ended.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _peer)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Postcard);
        answer(BaseChannel::with_defaults(transport));
    }
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
