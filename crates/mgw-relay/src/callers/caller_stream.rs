//! The socket of a caller's connection, which can end with a reset.
//!
//! An answer without length and chunks, as callers of HTTP/1.0 get it, ends with its connection. If it
//! broke off, a regular end would make it look complete.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a connection is to end with a reset; clones share the state.
#[derive(Debug, Clone, Default)]
pub struct ResetAtEnd(Arc<AtomicBool>);

impl ResetAtEnd {
    /// Has the connection end with a reset.
    pub fn request(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_requested(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A caller's connection that ends with a reset if that was requested.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    reset_at_end: ResetAtEnd,
}

impl CallerStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub const fn new(stream: TcpStream, reset_at_end: ResetAtEnd) -> Self {
        Self {
            stream,
            reset_at_end,
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.reset_at_end.is_requested() {
            // Without the option the connection ends regularly, which is all that is left to do.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
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

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if self.reset_at_end.is_requested() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
