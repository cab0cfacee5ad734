//! A connection that delivers bytes of a process that isn't trusted to follow the protocol.
//!
//! A client of HTTP/1.1 skips interim responses (1xx) in a loop of its own, as long as bytes arrive. This
//! stream bounds what is read before other tasks run, and what may arrive before the head of a final
//! response.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Largest number of bytes that may arrive before a response's head is complete, interim responses included.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes after which a connection lets other tasks run.
const MAX_TURN_BYTES: usize = 64 * 1024;

/// Tells a connection that the head of a response is awaited; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct AwaitedHead(Arc<HeadState>);

#[derive(Debug, Default)]
struct HeadState {
    is_awaited: AtomicBool,
    /// Bytes that arrived since the head is awaited.
    read_bytes: AtomicUsize,
}

impl AwaitedHead {
    /// Records that a request is being sent.
    pub fn begin(&self) {
        self.0.read_bytes.store(0, Ordering::Relaxed);
        self.0.is_awaited.store(true, Ordering::Relaxed);
    }

    /// Records that the head of the final response was read.
    pub fn end(&self) {
        self.0.is_awaited.store(false, Ordering::Relaxed);
    }

    /// Whether more bytes arrived than a head may have.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        let is_awaited = self.0.is_awaited.load(Ordering::Relaxed);
        is_awaited && self.0.read_bytes.load(Ordering::Relaxed) > MAX_HEAD_BYTES
    }

    fn count(&self, bytes: usize) {
        self.0.read_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A stream that bounds what is read from it.
#[derive(Debug)]
pub struct GuardedStream<S> {
    stream: S,
    head: AwaitedHead,
    /// Bytes read since the stream last returned `Poll::Pending`.
    turn_bytes: usize,
}

impl<S> GuardedStream<S> {
    /// Guards a stream. No head is awaited at first.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            head: AwaitedHead::default(),
            turn_bytes: 0,
        }
    }

    /// The state by which the sender of requests tells that it awaits a head.
    pub fn awaited_head(&self) -> AwaitedHead {
        self.head.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.head.is_exceeded() {
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, "endless head")));
        }
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_pending() {
            self.turn_bytes = 0;
        }
        ready!(polled)?;
        let bytes = buffer.filled().len() - filled;
        self.turn_bytes += bytes;
        self.head.count(bytes);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
