//! Accepts and serves the connections of callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use mgw_world::Millis;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::warn;

use super::caller_stream::{CallerStream, ResetAtEnd};
use super::{Handling, handle_request};
use crate::app::App;

/// Smallest buffer for a request's head that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Time that a connection stays open beyond the idle timeout that callers use, so that the relay
/// doesn't close it while a request is in transit.
const IDLE_SLACK_MS: Millis = Millis(2_000);
/// Time after which unacknowledged data closes a caller's connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a connection couldn't be accepted.
const ACCEPT_PAUSE_MS: Millis = Millis(20);

/// Open connections of callers.
#[derive(Debug, Clone, Default)]
pub struct CallerConnections {
    /// One task per connection.
    pub tasks: TaskTracker,
    /// Cancelled when connections are to take no further request and to close.
    pub closing: CancellationToken,
}

/// Accepts connections until `closing` is cancelled.
pub async fn serve_callers(app: Arc<App>, listener: TcpListener, callers: CallerConnections) {
    let closing = callers.closing.clone();
    while let Some(accepted) = closing.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok((stream, _)) => {
                let serving = serve_connection(Arc::clone(&app), stream, closing.clone());
                callers.tasks.spawn(serving);
            }
            Err(error) => {
                warn!(%error, "can't accept a caller's connection");
                sleep(ACCEPT_PAUSE_MS.to_duration()).await;
            }
        }
    }
}

async fn serve_connection(app: Arc<App>, stream: TcpStream, closing: CancellationToken) {
    // A socket on which these options can't be set still works.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let routing = app.routing();
    let limits = *routing.limits();
    let idle_ms = limits.idle_timeout_ms + IDLE_SLACK_MS;
    let reset_at_end = ResetAtEnd::default();
    let stream = CallerStream::new(stream, reset_at_end.clone());
    let is_closing = closing.clone();
    let service = service_fn(move |request| {
        let handling = Handling {
            reset_at_end: reset_at_end.clone(),
            closing: is_closing.clone(),
        };
        let answering = handle_request(Arc::clone(&app), request, handling);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_ms.to_duration())
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // The requests on a connection log how they ended, so its own error isn't logged.
        _ = connection.as_mut() => return,
        () = closing.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
