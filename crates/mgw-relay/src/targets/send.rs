//! Sends one request to one target and reads the head of the answer.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::response::Parts;
use hyper::{Method, Request};
use mgw_world::Millis;
use tokio::time::timeout;

use super::PooledConnection;
use crate::app::App;
use crate::dialect::{AnswerHead, TargetHead};

/// Fields that concern one connection only.
const CONNECTION_FIELDS: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// A request on its way to a target.
#[derive(Debug, Clone, Copy)]
pub struct OutboundRequest<'a> {
    /// Identity of the caller's attempt.
    pub id: &'a str,
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a str,
    /// The caller's head.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a Bytes,
    /// Where it goes.
    pub address: SocketAddr,
    /// What the relay adds to the head.
    pub head: TargetHead<'a>,
    /// Whether a connection must be new, so that no answer of an earlier request can stand in it.
    pub needs_new_connection: bool,
    /// How long the head of the answer is waited for.
    pub timeout_ms: Millis,
}

/// The head of an answer, its body and the connection that it comes over.
#[derive(Debug)]
pub struct Answer {
    /// Status and fields.
    pub parts: Parts,
    /// What the adapter read from them.
    pub head: AnswerHead,
    /// Body.
    pub body: Incoming,
    /// Connection.
    pub connection: PooledConnection,
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum SendFailure {
    /// no connection came about; nothing was sent
    NotSent,
    /// the connection broke; the request may have run
    Broken,
    /// no answer in time; the request may run
    Late,
    /// the answer is that of another request; this one may have run
    Foreign,
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
/// When there is none; the error tells whether the request may have run.
pub async fn send(app: &App, outbound: &OutboundRequest<'_>) -> Result<Answer, SendFailure> {
    let mut request = write_request(app, outbound).map_err(|_| SendFailure::NotSent)?;
    let ends_at = app.clock.now() + outbound.timeout_ms;
    let mut needs_new_connection = outbound.needs_new_connection;
    loop {
        let acquiring = app
            .connection_pool
            .acquire(outbound.address, needs_new_connection);
        let mut connection = acquiring.await.map_err(|_| SendFailure::NotSent)?;
        let left = (ends_at - app.clock.now()).to_duration();
        let answered = timeout(left, connection.sender.try_send_request(request)).await;
        match answered {
            Ok(Ok(response)) => return read_head(app, outbound, response, connection),
            Ok(Err(mut error)) => match error.take_message() {
                // The idle connection had ended; nothing of the request left this process.
                Some(unsent) if connection.is_reused => {
                    request = unsent;
                    needs_new_connection = true;
                }
                Some(_) => return Err(SendFailure::NotSent),
                None => return Err(SendFailure::Broken),
            },
            Err(_) => {
                app.connection_pool.drop_idle(outbound.address);
                return Err(SendFailure::Late);
            }
        }
    }
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
    if head.id.as_deref().is_some_and(|id| id != outbound.id) {
        return Err(SendFailure::Foreign);
    }
    strip_connection_fields(&mut parts.headers);
    // The body is framed anew towards the caller.
    parts.headers.remove(CONTENT_LENGTH);
    Ok(Answer {
        parts,
        head,
        body,
        connection,
    })
}

fn write_request(
    app: &App,
    outbound: &OutboundRequest<'_>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut headers = outbound.headers.clone();
    strip_connection_fields(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(hyper::header::EXPECT);
    (app.adapter.dialect.write_request)(&mut headers, &outbound.head);
    let mut request = Request::builder()
        .method(outbound.method.clone())
        .uri(outbound.path)
        .body(Full::new(outbound.body.clone()))?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Takes out the fields that concern one connection, and those that `Connection` names.
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
