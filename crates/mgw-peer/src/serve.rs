//! Serving the calls of other processes.

use std::net::SocketAddr;

use futures::StreamExt;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use crate::PeerRpc;
use crate::codec::{MAX_FRAME_BYTES, Postcard};

/// Opens the port for other processes.
///
/// # Errors
/// When the address can't be bound.
pub async fn bind_peer_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves the calls of other processes until the token is cancelled.
pub async fn serve_peers<S>(listener: TcpListener, server: S, ended: CancellationToken)
where
    S: PeerRpc + Clone + Send + 'static,
{
    while let Some(accepted) = ended.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _peer)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let framed =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Postcard);
        let channel = BaseChannel::with_defaults(transport);
        let requests = channel.execute(server.clone().serve());
        let ended = ended.clone();
        tokio::spawn(async move {
            let serving = requests.for_each(|response| async move {
                tokio::spawn(response);
            });
            ended.run_until_cancelled(serving).await;
        });
    }
}
