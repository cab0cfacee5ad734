//! Counts the callers' calls whose answer has not begun, and refuses calls while the entry starts.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use hyper::body::Incoming;
use hyper::{Request, Response};
use mgw_contract::caller::{COMPLETIONS_PATH, Outcome, Reason, SERVICES_PATH};
use mgw_member::NodePhase;
use mgw_serve::http::Body;

use crate::app::App;
use crate::completions::{FinalFields, refuse_request};
use crate::web::handle_request;

/// Number of the callers' calls whose answer has not begun. The call of a streamed answer counts
/// until the response headers are sent; by then its run is already counted as in flight.
#[derive(Debug, Clone, Default)]
pub struct OpenCalls(Arc<AtomicUsize>);

/// Counts one call as open until it is dropped.
struct OpenCall(Arc<AtomicUsize>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl OpenCalls {
    /// Number of open calls.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }

    fn open(&self) -> OpenCall {
        self.0.fetch_add(1, Ordering::SeqCst);
        OpenCall(Arc::clone(&self.0))
    }
}

/// Answers one HTTP request. Completions and service calls count as open until the answer begins,
/// and are refused while the entry starts.
pub async fn handle_counted_request(
    app: Arc<App>,
    calls: OpenCalls,
    request: Request<Incoming>,
) -> Response<Body> {
    if !is_counted_path(request.uri().path()) {
        return handle_request(app, request).await;
    }
    let _open = calls.open();
    let is_starting = app.members.view.lock().own_info().phase == NodePhase::Starting;
    if is_starting {
        return refuse_while_starting(&app);
    }
    handle_request(app, request).await
}

fn is_counted_path(path: &str) -> bool {
    path == COMPLETIONS_PATH || path.starts_with(SERVICES_PATH)
}

fn refuse_while_starting(app: &App) -> Response<Body> {
    let fields = FinalFields {
        id: app.new_request_id(),
        outcome: Outcome::NotRun,
        reason: Reason::NoQuorum,
        message:
            "this entry is starting: its view or configuration isn't complete yet; use another one"
                .to_owned(),
        tokens: 0,
        retry_after_ms: None,
    };
    refuse_request(app, fields)
}
