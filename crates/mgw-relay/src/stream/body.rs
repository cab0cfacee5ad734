//! The HTTP body of an answer that is an event stream.

use bytes::Bytes;
use futures::stream::{StreamExt, once, unfold};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::RelayedStream;
use crate::callers::RelayBody;

/// Builds a body that passes events on as they arrive. Dropping the body, as happens when the
/// caller disconnects, drops the stream and with it the connection to the target.
#[must_use]
pub fn stream_body(first: Bytes, stream: RelayedStream) -> RelayBody {
    let rest = unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        match stream.next().await {
            Some(Ok(events)) => Some((Ok(Frame::data(events)), Some(stream))),
            Some(Err(truncated)) => Some((Err(truncated), None)),
            None => None,
        }
    });
    let first = once(async move { Ok(Frame::data(first)) });
    StreamBody::new(first.chain(rest)).boxed_unsync()
}
