//! Sends a request to one target and reads the head of the answer.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::response::Parts;
use hyper::{Method, Request};
use mgw_route::TargetRun;
use mgw_world::{Incarnation, Millis};
use parking_lot::Mutex;
use tokio::time::timeout;
use tracing::info;

use super::PooledConnection;
use crate::app::App;
use crate::dialect::{AnswerHead, TargetHead};
use crate::links::TargetLink;
use crate::request_sends::SendOutcome;

/// Hop-by-hop header fields, which concern one connection only.
const CONNECTION_FIELDS: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// When a connection to the target was there, so that the request was sent; empty while it is being established.
#[derive(Debug, Default)]
pub struct SentAt(Mutex<Option<Millis>>);

impl SentAt {
    /// The time, if the request was sent.
    #[must_use]
    pub fn get(&self) -> Option<Millis> {
        *self.0.lock()
    }

    /// Replaces the time.
    pub fn set(&self, sent_at: Option<Millis>) {
        *self.0.lock() = sent_at;
    }
}

/// A request as it is sent to one target.
#[derive(Debug, Clone, Copy)]
pub struct OutboundRequest<'a> {
    /// Id of the caller's attempt.
    pub id: &'a str,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a str,
    /// Header fields of the caller's request.
    pub headers: &'a HeaderMap,
    /// Whole body of the request.
    pub body: &'a Bytes,
    /// Address of the target.
    pub address: SocketAddr,
    /// Values that the adapter writes into the header fields.
    pub head: TargetHead<'a>,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Whether the connection must be new, so that it can't hold an answer to an earlier request.
    pub needs_new_connection: bool,
    /// Longest wait for the head of the answer.
    pub timeout_ms: Millis,
    /// Where the time of the send is recorded.
    pub sent_at: &'a SentAt,
}

impl OutboundRequest<'_> {
    /// The run of the target that the request is for.
    fn run(&self) -> TargetRun {
        TargetRun {
            name: self.head.target.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// An answer whose head was read, with the connection that delivers its body.
#[derive(Debug)]
pub struct Answer {
    /// Status and header fields.
    pub parts: Parts,
    /// Values that the adapter read from the status and the header fields.
    pub head: AnswerHead,
    /// Body that hasn't been read yet.
    pub body: Incoming,
    /// Connection to the target.
    pub connection: PooledConnection,
}

/// Why a send got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum SendFailure {
    /// no connection to the target was established, nothing was sent
    NotSent,
    /// the connection broke before the answer, the request may have run
    Broken,
    /// the target didn't answer in time, the request may run
    Late,
    /// more bytes came than an answer's head may have, the request may have run
    Endless,
    /// the answer carries the id of another request, this one may have run
    Foreign,
    /// the success lacks the target's seal, the request may have run
    Unsigned,
}

impl SendFailure {
    /// What is known of the request after the failure, with the cause for log lines.
    #[must_use]
    pub const fn describe(self) -> (SendOutcome, &'static str) {
        match self {
            Self::NotSent => (SendOutcome::NotSent, "no connection"),
            Self::Broken => (SendOutcome::TargetLost, "connection broke"),
            Self::Late => (SendOutcome::Unknown, "no answer in time"),
            Self::Endless => (SendOutcome::Unknown, "no end of the answer's head"),
            Self::Foreign => (SendOutcome::Unknown, "answer of another request"),
            Self::Unsigned => (SendOutcome::Unknown, "success without the target's seal"),
        }
    }
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
/// When no answer arrives. The error shows whether the request may have run.
pub async fn send(app: &App, outbound: &OutboundRequest<'_>) -> Result<Answer, SendFailure> {
    let began_at = app.clock.now();
    let ends_at = began_at + outbound.timeout_ms;
    let run = outbound.run();
    let mut needs_new_connection = outbound.needs_new_connection;
    count_limited_send(app, outbound, &run);
    loop {
        let link = TargetLink {
            id: outbound.id,
            run: &run,
            address: outbound.address,
            needs_new_connection,
            time_left_ms: outbound.head.time_left_ms,
        };
        let left = (ends_at - app.clock.now()).to_duration();
        let connecting = timeout(left, app.connect(&link)).await;
        let connected = connecting.map_err(|_| SendFailure::NotSent)?;
        let mut connection = connected.map_err(|_| SendFailure::NotSent)?;
        outbound.sent_at.set(Some(app.clock.now()));
        let waited_ms = app.clock.now() - began_at;
        let request = write_request(app, outbound, waited_ms).map_err(|_| SendFailure::NotSent)?;
        let left = (ends_at - app.clock.now()).to_duration();
        let answered = timeout(left, connection.send(request)).await;
        match answered {
            Ok(Ok(response)) => return read_head(app, outbound, response, connection),
            Ok(Err(mut error)) => match error.take_message() {
                // The idle connection was closed, so nothing of the request left this process.
                Some(_) if connection.is_reused => needs_new_connection = true,
                Some(_) => return Err(SendFailure::NotSent),
                None if connection.awaited_head.is_exceeded() => return Err(SendFailure::Endless),
                None => return Err(SendFailure::Broken),
            },
            Err(_) => {
                app.connection_pool.drop_idle(outbound.address);
                return Err(SendFailure::Late);
            }
        }
    }
}

/// Counts and logs a send to a target with a rate limit.
fn count_limited_send(app: &App, outbound: &OutboundRequest<'_>, run: &TargetRun) {
    let stated_age_ms = app.rate_limits.lock().stated_age_ms(run, app.clock.now());
    let Some(stated_age_ms) = stated_age_ms else {
        return;
    };
    app.metrics.limited_sends.inc();
    info!(
        id = outbound.id,
        target_name = %run.name,
        incarnation = %run.incarnation,
        stated_ms = stated_age_ms.0,
        "request sent to a target with a rate limit"
    );
}

fn read_head(
    app: &App,
    outbound: &OutboundRequest<'_>,
    response: hyper::Response<Incoming>,
    connection: PooledConnection,
) -> Result<Answer, SendFailure> {
    let (mut parts, body) = response.into_parts();
    let read = app.adapter.dialect.read_answer;
    let head = read(parts.status.as_u16(), &parts.headers);
    // Without an id, bytes on a connection that was used before may be a second copy of its last answer.
    let is_foreign = match head.id.as_deref() {
        Some(id) => id != outbound.id,
        None => connection.is_reused,
    };
    if is_foreign {
        return Err(SendFailure::Foreign);
    }
    if parts.status.is_success() && !head.is_signed {
        return Err(SendFailure::Unsigned);
    }
    app.record_notices(&outbound.run(), &head);
    strip_connection_fields(&mut parts.headers);
    // The server side frames the body for the caller again.
    parts.headers.remove(CONTENT_LENGTH);
    Ok(Answer {
        parts,
        head,
        body,
        connection,
    })
}

/// Writes the request for the target, after `waited_ms` for the connection.
fn write_request(
    app: &App,
    outbound: &OutboundRequest<'_>,
    waited_ms: Millis,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut headers = outbound.headers.clone();
    strip_connection_fields(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(hyper::header::EXPECT);
    let head = TargetHead {
        time_left_ms: outbound.head.time_left_ms - waited_ms,
        ..outbound.head
    };
    (app.adapter.dialect.write_request)(&mut headers, &head);
    let mut request = Request::builder()
        .method(outbound.method.clone())
        .uri(outbound.path)
        .body(Full::new(outbound.body.clone()))?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Removes the hop-by-hop fields and those that `Connection` names.
fn strip_connection_fields(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_FIELDS) {
        headers.remove(name);
    }
}
