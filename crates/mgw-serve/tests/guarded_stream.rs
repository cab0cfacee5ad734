//! Bytes without end on a guarded connection: what is read in one turn and before a head is bounded.

#![allow(clippy::unwrap_used)]

use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use mgw_serve::{AwaitedHead, GuardedStream, MAX_HEAD_BYTES};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

/// A peer that takes every byte and sends this text again and again, as fast as it is read. It begins once
/// something was written to it.
struct Endless {
    is_asked: bool,
    reader: Option<Waker>,
    text: &'static [u8],
    at: usize,
    read_bytes: Arc<AtomicUsize>,
}

impl AsyncRead for Endless {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if !self.is_asked {
            self.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        let count = buffer.remaining();
        let at = self.at;
        let bytes: Vec<u8> = self
            .text
            .iter()
            .copied()
            .cycle()
            .skip(at)
            .take(count)
            .collect();
        buffer.put_slice(&bytes);
        self.at = (at + count) % self.text.len();
        self.read_bytes.fetch_add(count, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Endless {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.is_asked = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

fn endless(text: &'static str) -> (GuardedStream<Endless>, AwaitedHead, Arc<AtomicUsize>) {
    let read_bytes = Arc::<AtomicUsize>::default();
    let stream = GuardedStream::new(Endless {
        is_asked: false,
        reader: None,
        text: text.as_bytes(),
        at: 0,
        read_bytes: Arc::clone(&read_bytes),
    });
    let head = stream.awaited_head();
    (stream, head, read_bytes)
}

#[tokio::test]
async fn client_gives_up_interim_responses_without_end_after_a_bounded_number_of_bytes() {
    for text in [
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\nx-more: field\r\n\r\n",
    ] {
        let (stream, head, read_bytes) = endless(text);
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake::<_, Empty<Bytes>>(TokioIo::new(stream));
        let (mut sender, connection) = handshake.await.unwrap();
        let connection = tokio::spawn(connection);
        head.begin();
        let request = Request::get("/").body(Empty::new()).unwrap();
        assert!(sender.try_send_request(request).await.is_err());
        assert!(head.is_exceeded());
        // The sender got the error; the connection has only to end.
        let _ = connection.await.unwrap();
        assert!(read_bytes.load(Ordering::Relaxed) <= 2 * MAX_HEAD_BYTES);
    }
}

#[tokio::test]
async fn one_turn_of_an_endless_connection_reads_a_bounded_number_of_bytes() {
    const BUFFER_BYTES: usize = 8 * 1024;
    let (mut stream, _, read_bytes) = endless("x");
    stream.write_all(b"x").await.unwrap();
    let mut reading = Box::pin(async move {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            stream.read_exact(&mut buffer).await.unwrap();
        }
    });
    for _ in 0..50 {
        let before = read_bytes.load(Ordering::Relaxed);
        let turn: Poll<()> = reading
            .as_mut()
            .poll(&mut Context::from_waker(Waker::noop()));
        assert!(turn.is_pending());
        let turn_bytes = read_bytes.load(Ordering::Relaxed) - before;
        assert!(turn_bytes > 0, "the connection goes on");
        assert!(turn_bytes <= MAX_HEAD_BYTES + BUFFER_BYTES, "{turn_bytes}");
    }
}

#[tokio::test]
async fn body_may_be_longer_than_a_head() {
    let (mut stream, head, _) = endless("x");
    stream.write_all(b"x").await.unwrap();
    let mut buffer = vec![0; MAX_HEAD_BYTES];
    head.begin();
    stream.read_exact(&mut buffer).await.unwrap();
    head.end();
    for _ in 0..8 {
        stream.read_exact(&mut buffer).await.unwrap();
    }
    head.begin();
    stream.read_exact(&mut buffer).await.unwrap();
    stream.read_exact(&mut [0]).await.unwrap();
    assert!(stream.read_exact(&mut buffer).await.is_err());
}
