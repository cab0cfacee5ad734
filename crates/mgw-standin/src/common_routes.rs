//! HTTP routes of every role: faults and the journal.

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use mgw_serve::http::{Body, full_response, json_response, read_json};
use serde::Serialize;

use crate::context::StandinContext;
use crate::faults::FAULT_PATH;

/// Path of the journal: `GET` returns one JSON line for each event that was executed.
pub const JOURNAL_PATH: &str = "/journal";

/// JSON body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ErrorBody {
    /// Description of the error for people.
    pub message: String,
}

/// Creates an error response with an [`ErrorBody`].
pub fn error_response(status: StatusCode, message: impl Into<String>) -> Response<Body> {
    let error = ErrorBody {
        message: message.into(),
    };
    json_response(status, &error)
}

/// Whether a call goes to [`handle_common`], which answers also while a fault is active.
#[must_use]
pub fn is_common(request: &Request<Incoming>) -> bool {
    matches!(request.uri().path(), FAULT_PATH | JOURNAL_PATH)
}

/// Answers calls that read or change the faults or read the journal.
pub async fn handle_common(context: &StandinContext, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, FAULT_PATH) => match read_json(request.into_body()).await {
            Ok(fault) => {
                tracing::info!(?fault, "fault changed");
                json_response(StatusCode::OK, &context.inject(fault))
            }
            Err(error) => error_response(StatusCode::BAD_REQUEST, error.to_string()),
        },
        (&Method::GET, FAULT_PATH) => json_response(StatusCode::OK, &context.faults()),
        (&Method::GET, JOURNAL_PATH) => match context.read_journal() {
            Ok(text) => full_response(StatusCode::OK, "application/x-ndjson", text),
            Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        _ => error_response(StatusCode::METHOD_NOT_ALLOWED, "use GET or POST"),
    }
}
