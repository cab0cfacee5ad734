//! The body of an answer in events.

use bytes::Bytes;
use futures::stream::{StreamExt, once, unfold};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::RelayedStream;
use crate::callers::RelayBody;

/// Passes events on as they come. Dropping the body, as happens when the caller leaves, drops the
/// run and with it the connection to the target.
#[must_use]
pub fn stream_body(first: Bytes, stream: RelayedStream) -> RelayBody {
    let rest = unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        match stream.next().await {
            Some(Ok(events)) => Some((Ok(Frame::data(events)), Some(stream))),
            Some(Err(truncate)) => Some((Err(truncate), None)),
            None => None,
        }
    });
    let first = once(async move { Ok(Frame::data(first)) });
    StreamBody::new(first.chain(rest)).boxed_unsync()
}
