//! HTTP based on `hyper`: a server that drains its connections at shutdown, clients, and JSON bodies.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use mgw_world::Millis;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Body of requests and responses.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;
/// An HTTP client; whether it reuses connections depends on how it was created.
pub type HttpClient = Client<HttpConnector, Body>;

/// Maximum size of a body that [`read_body`] accepts.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Maximum size of an answer of a target that is held whole, see [`read_answer`]. A target in trouble
/// may send bytes without end, and a process on a small machine reads several answers at a time.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Time within which a connection must be established.
const CONNECT_TIMEOUT_MS: Millis = Millis(1000);
/// Interval of HTTP/2 pings on a connection with calls in flight.
const PING_INTERVAL_MS: Millis = Millis(1000);
/// Time within which a ping must be answered.
const PING_TIMEOUT_MS: Millis = Millis(2000);

/// Time without a new connection after which a server that is shutting down stops accepting.
const DRAIN_ACCEPT_MS: Millis = Millis(20);
/// Time within which a connection that was accepted during shutdown must send its first request.
const DRAIN_REQUEST_MS: Millis = Millis(200);

/// Why a body can't be read.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum BodyError {
    /// the body is incomplete or larger than the limit: {message}
    Broken {
        /// Error of the transport or of the size limit.
        message: String,
    },
    /// the body is not the expected JSON: {source}
    Malformed {
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
}

/// Creates a body from bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// Creates a response whose body is completely known.
pub fn full_response(
    status: StatusCode,
    content_type: &'static str,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Creates a response with `value` as JSON.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    full_response(status, "application/json", text)
}

/// Reads a whole body.
///
/// # Errors
/// When the body is incomplete or larger than [`MAX_BODY_BYTES`].
pub async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    read_limited(body, MAX_BODY_BYTES).await
}

/// Reads the whole body of a target's answer.
///
/// # Errors
/// When the body is incomplete or larger than [`MAX_ANSWER_BYTES`].
pub async fn read_answer(body: Incoming) -> Result<Bytes, BodyError> {
    read_limited(body, MAX_ANSWER_BYTES).await
}

async fn read_limited(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    let limited = Limited::new(body, max_bytes);
    let collected = limited.collect().await;
    let collected = collected.map_err(|error| BodyError::Broken {
        message: error.to_string(),
    })?;
    Ok(collected.to_bytes())
}

/// Reads a body as JSON.
///
/// # Errors
/// When the body is incomplete, larger than [`MAX_BODY_BYTES`], or not JSON of this type.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, BodyError> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).map_err(|source| BodyError::Malformed { source })
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT_MS.to_duration()));
    connector
}

/// Creates a client for HTTP/1.1.
///
/// It never retries a request by itself: the caller of the client decides whether a request may be
/// sent again.
#[must_use]
pub fn client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector())
}

/// Creates a client that opens a connection for each request, so that a failure to connect proves that
/// no byte of the request was sent.
#[must_use]
pub fn unpooled_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(0)
        .retry_canceled_requests(false)
        .build(connector())
}

/// Creates a client whose requests to one address share one HTTP/2 connection.
///
/// It never retries a request by itself, see [`client`].
#[must_use]
pub fn shared_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .timer(TokioTimer::new())
        .http2_only(true)
        .http2_adaptive_window(true)
        .http2_keep_alive_interval(PING_INTERVAL_MS.to_duration())
        .http2_keep_alive_timeout(PING_TIMEOUT_MS.to_duration())
        .retry_canceled_requests(false)
        .build(connector())
}

/// Serves HTTP/1.1 and HTTP/2 until `graceful` is cancelled; then returns once the requests in flight
/// have ended or `forced` is cancelled.
pub async fn serve<H, F>(
    listener: TcpListener,
    handler: H,
    graceful: CancellationToken,
    forced: CancellationToken,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let connections = TaskTracker::new();
    while let Some(accepted) = graceful.run_until_cancelled(listener.accept()).await {
        if let Ok((stream, _peer)) = accepted {
            let connection = serve_connection(stream, Arc::clone(&handler), graceful.clone());
            connections.spawn(connection);
        }
    }
    // Accept the connections in the listen backlog: closing the listener would reset them.
    while let Ok(Ok((stream, _peer))) =
        timeout(DRAIN_ACCEPT_MS.to_duration(), listener.accept()).await
    {
        let connection_closing = CancellationToken::new();
        connections.spawn(serve_connection(
            stream,
            Arc::clone(&handler),
            connection_closing.clone(),
        ));
        connections.spawn(async move {
            sleep(DRAIN_REQUEST_MS.to_duration()).await;
            connection_closing.cancel();
        });
    }
    drop(listener);
    connections.close();
    forced.run_until_cancelled(connections.wait()).await;
}

async fn serve_connection<H, F>(stream: TcpStream, handler: Arc<H>, graceful: CancellationToken)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(None);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = graceful.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
