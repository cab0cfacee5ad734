//! HTTP by `hyper`: a server that drains its connections, clients, and JSON bodies.

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

/// Body of requests and answers.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;
/// A client that keeps its connections.
pub type HttpClient = Client<HttpConnector, Body>;

/// Largest body that [`read_body`] takes.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Time within which a connection must come about.
const CONNECT_TIMEOUT_MS: Millis = Millis(1000);
/// Interval of HTTP/2 pings on a connection with calls in flight.
const PING_INTERVAL_MS: Millis = Millis(1000);
/// Time within which a ping must be answered.
const PING_TIMEOUT_MS: Millis = Millis(2000);

/// Time without a further connection after which a closing server stops accepting.
const LAST_ACCEPT_MS: Millis = Millis(20);
/// Time in which a connection accepted while closing may send its first request.
const LAST_REQUEST_MS: Millis = Millis(200);

/// A fault in reading a body.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum BodyError {
    /// the body broke off or is too large: {message}
    Broken {
        /// What the transport said.
        message: String,
    },
    /// the body is not what was expected: {source}
    Malformed {
        /// What the decoder said.
        source: serde_json::Error,
    },
}

/// Wraps bytes as a body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// An answer with a whole body.
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

/// An answer in JSON.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    full_response(status, "application/json", text)
}

/// Reads a whole body.
///
/// # Errors
/// When the body breaks off or is larger than [`MAX_BODY_BYTES`].
pub async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    let limited = Limited::new(body, MAX_BODY_BYTES);
    let collected = limited.collect().await;
    let collected = collected.map_err(|error| BodyError::Broken {
        message: error.to_string(),
    })?;
    Ok(collected.to_bytes())
}

/// Reads a body as JSON.
///
/// # Errors
/// When the body breaks off, is too large or is not of this type.
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

/// A client for HTTP/1.1.
///
/// It never repeats a request by itself: whether a request may be sent again is for the caller of
/// the client to decide.
#[must_use]
pub fn client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector())
}

/// A client that opens a connection for each request, so that a failed connection is proof that no
/// byte of the request was sent.
#[must_use]
pub fn unpooled_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(0)
        .retry_canceled_requests(false)
        .build(connector())
}

/// A client that shares one HTTP/2 connection for each address.
///
/// It never repeats a request by itself, see [`client`].
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

/// Serves HTTP/1.1 and HTTP/2 until `graceful` is cancelled, then ends once the requests in flight
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
            let answering = serve_connection(stream, Arc::clone(&handler), graceful.clone());
            connections.spawn(answering);
        }
    }
    // Callers that were connected by the system but not yet accepted would be reset.
    while let Ok(Ok((stream, _peer))) =
        timeout(LAST_ACCEPT_MS.to_duration(), listener.accept()).await
    {
        let closing = CancellationToken::new();
        connections.spawn(serve_connection(
            stream,
            Arc::clone(&handler),
            closing.clone(),
        ));
        connections.spawn(async move {
            sleep(LAST_REQUEST_MS.to_duration()).await;
            closing.cancel();
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
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
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
