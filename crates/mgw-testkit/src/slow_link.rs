//! A loopback TCP proxy that forwards at a limited rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::free_address;

/// Largest number of bytes that is forwarded at once.
const CHUNK_BYTES: usize = 4 * 1024;

/// One direction of a link. Its connections take turns chunk by chunk.
#[derive(Debug, Clone)]
struct Direction {
    turn: Arc<Mutex<()>>,
    bytes_per_ms: u32,
}

/// Forwards connections to `server` and returns the address at which it accepts them. In each
/// direction all connections share `bytes_per_ms`.
///
/// # Errors
/// When the proxy can't listen.
pub async fn start_slow_link(server: SocketAddr, bytes_per_ms: u32) -> std::io::Result<SocketAddr> {
    let address = free_address();
    let listener = TcpListener::bind(address).await?;
    let new_direction = || Direction {
        turn: Arc::default(),
        bytes_per_ms,
    };
    let (forward, back) = (new_direction(), new_direction());
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let (forward, back) = (forward.clone(), back.clone());
            tokio::spawn(async move {
                if let Ok(called) = TcpStream::connect(server).await {
                    link(caller, called, forward, back).await;
                }
            });
        }
    });
    Ok(address)
}

/// Forwards both directions of a connection until one of them ends; then closes it.
async fn link(caller: TcpStream, called: TcpStream, forward: Direction, back: Direction) {
    let _ = caller.set_nodelay(true);
    let _ = called.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_called, to_called) = called.into_split();
    tokio::select! {
        () = forward_chunks(from_caller, to_called, forward) => {}
        () = forward_chunks(from_called, to_caller, back) => {}
    }
}

async fn forward_chunks(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut chunk).await
        && count > 0
    {
        let turn = direction.turn.lock().await;
        let bytes = u32::try_from(count).unwrap_or(u32::MAX);
        sleep(Duration::from_millis(1) * bytes / direction.bytes_per_ms).await;
        drop(turn);
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
