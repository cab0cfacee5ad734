//! Byte streams between processes: an entry whose own links to the targets are cut reaches a target over the
//! link of another entry.
//!
//! A tunnel is a connection of its own to the other process. Its first frame is [`TUNNEL_MARKER`] with a
//! [`TunnelRequest`], the reply a `Result<(), TunnelRefusal>`; all further frames carry bytes. An empty frame is
//! the regular end of the target's connection. Without it the connection broke, so that an answer that ends with
//! its connection can't look whole because a process on the way has ended.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures::stream::{SplitSink, SplitStream, unfold};
use futures::{SinkExt, StreamExt};
use mgw_route::TargetRun;
use mgw_world::{Millis, NodeName};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, join};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::io::{CopyToBytes, SinkWriter, StreamReader};

use crate::CallFailure;
use crate::tls::PeerStream;

/// First byte of the frame that asks for a tunnel. No call between processes begins with it: there the first byte
/// is the number of a variant.
const TUNNEL_MARKER: u8 = 0xff;
/// Largest number of bytes in one frame of a tunnel.
const CHUNK_BYTES: usize = 16 * 1024;
/// Time after the end of the target's connection within which the other process closes the tunnel.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection between two processes in frames.
pub(crate) type Frames = Framed<PeerStream, LengthDelimitedCodec>;

/// A stream of bytes in both directions.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for T {}

/// Asks for a connection to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// Id of the request that the connection is for, for log lines.
    pub id: String,
    /// The entry that asks.
    pub entry: NodeName,
    /// The target in its incarnation.
    pub target: TargetRun,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    /// Time left until the deadline of the request, after which the tunnel is closed.
    pub time_left_ms: Millis,
}

/// Why a process opens no connection to a target for another one.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    displaydoc::Display,
    derive_more::Error,
)]
pub enum TunnelRefusal {
    /// the process is starting or ending
    NotServing,
    /// the process can't reach the targets itself
    CutOff,
    /// the process has no room beside the requests of its own callers
    Full,
    /// the process doesn't use this target
    NotUsable,
    /// nothing listens at the target's address
    TargetRefused,
    /// the target accepts no connection
    TargetUnreachable,
}

/// Why no tunnel was opened. Nothing was sent to the target.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum TunnelFailure {
    /// no tunnel to the other process: {0}
    NoPeer(CallFailure),
    /// {0}
    Refused(TunnelRefusal),
}

/// A tunnel that another process asks for.
#[derive(Debug)]
pub struct IncomingTunnel {
    request: TunnelRequest,
    frames: Frames,
}

impl IncomingTunnel {
    /// What is asked for.
    #[must_use]
    pub const fn request(&self) -> &TunnelRequest {
        &self.request
    }

    /// Refuses the tunnel.
    ///
    /// # Errors
    /// When the connection has broken.
    pub async fn refuse(mut self, refusal: TunnelRefusal) -> Result<()> {
        send_reply(&mut self.frames, Err(refusal)).await
    }

    /// Accepts the tunnel and passes bytes on until either side ends its connection.
    ///
    /// # Errors
    /// When either connection breaks.
    pub async fn pass(mut self, target: TcpStream) -> Result<()> {
        send_reply(&mut self.frames, Ok(())).await?;
        let (into_peer, from_peer) = self.frames.split();
        let (from_target, into_target) = target.into_split();
        let mut passing_up = std::pin::pin!(pass_up(from_peer, into_target));
        tokio::select! {
            () = passing_up.as_mut() => return Ok(()),
            passed = pass_down(from_target, into_peer) => passed?,
        }
        // The other process closes the connection once it has read the end.
        let _ = timeout(CLOSE_TIMEOUT, passing_up).await;
        Ok(())
    }
}

/// Passes bytes to the target until the other process closes the tunnel. A target that takes no more bytes may
/// still answer, so that isn't the end.
async fn pass_up(mut from_peer: SplitStream<Frames>, mut into_target: OwnedWriteHalf) {
    let mut is_taken = true;
    while let Some(Ok(frame)) = from_peer.next().await {
        is_taken = is_taken && into_target.write_all(&frame).await.is_ok();
    }
}

async fn pass_down(
    mut from_target: OwnedReadHalf,
    mut into_peer: SplitSink<Frames, Bytes>,
) -> Result<()> {
    let mut chunk = BytesMut::new();
    loop {
        chunk.reserve(CHUNK_BYTES);
        let is_end = from_target.read_buf(&mut chunk).await? == 0;
        into_peer.send(chunk.split().freeze()).await?;
        if is_end {
            return Ok(());
        }
    }
}

async fn send_reply(
    frames: &mut Frames,
    reply: std::result::Result<(), TunnelRefusal>,
) -> Result<()> {
    let reply = postcard::to_stdvec(&reply).map_err(Error::other)?;
    frames.send(Bytes::from(reply)).await
}

/// What the first frame of a connection asks for.
pub(crate) enum FirstFrame {
    /// A tunnel.
    Tunnel(IncomingTunnel),
    /// Calls; the frame is still to be read from the connection.
    Calls(Frames),
}

/// Reads the first frame of a connection; `None` if it ends or can't be read.
pub(crate) async fn read_first_frame(mut frames: Frames) -> Option<FirstFrame> {
    let first = frames.next().await?.ok()?;
    if first.first() == Some(&TUNNEL_MARKER) {
        let request = postcard::from_bytes(&first[1..]).ok()?;
        return Some(FirstFrame::Tunnel(IncomingTunnel { request, frames }));
    }
    let rest = frames.read_buffer_mut();
    let mut unread = BytesMut::with_capacity(size_of::<u32>() + first.len() + rest.len());
    unread.put_u32(u32::try_from(first.len()).ok()?);
    unread.extend_from_slice(&first);
    unread.extend_from_slice(rest);
    *rest = unread;
    Some(FirstFrame::Calls(frames))
}

/// Asks for a tunnel over a new connection.
pub(crate) async fn ask(
    mut frames: Frames,
    request: &TunnelRequest,
) -> std::result::Result<Box<dyn ByteStream>, TunnelFailure> {
    let broken = |_| TunnelFailure::NoPeer(CallFailure::NoAnswer);
    let request = postcard::to_extend(request, vec![TUNNEL_MARKER])
        .map_err(|_| TunnelFailure::NoPeer(CallFailure::NotConnected))?;
    frames.send(Bytes::from(request)).await.map_err(broken)?;
    let reply = frames.next().await;
    let reply = reply.and_then(std::result::Result::ok);
    let reply = reply.ok_or(TunnelFailure::NoPeer(CallFailure::NoAnswer))?;
    let reply: std::result::Result<(), TunnelRefusal> =
        postcard::from_bytes(&reply).map_err(|_| TunnelFailure::NoPeer(CallFailure::NoAnswer))?;
    reply.map_err(TunnelFailure::Refused)?;
    let (into_peer, from_peer) = frames.split();
    let reader = StreamReader::new(Box::pin(unfold(from_peer, next_bytes)));
    let writer = SinkWriter::new(CopyToBytes::new(into_peer));
    Ok(Box::new(join(reader, writer)))
}

async fn next_bytes(
    mut frames: SplitStream<Frames>,
) -> Option<(Result<Bytes>, SplitStream<Frames>)> {
    let bytes = match frames.next().await {
        Some(Ok(frame)) if frame.is_empty() => return None,
        Some(Ok(frame)) => Ok(frame.freeze()),
        Some(Err(error)) => Err(error),
        None => Err(ErrorKind::ConnectionReset.into()),
    };
    Some((bytes, frames))
}
