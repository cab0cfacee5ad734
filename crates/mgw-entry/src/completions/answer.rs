//! Final answers and their HTTP status and headers.

use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use mgw_contract::caller::{FinalAnswer, OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER, Reason};
use mgw_serve::http::{Body, json_response};
use mgw_world::{Millis, RequestId};

use crate::app::App;

/// The fields of a final answer that depend on the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinalFields {
    /// Id of the request.
    pub id: RequestId,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason for the outcome.
    pub reason: Reason,
    /// Message for a human reader.
    pub message: String,
    /// Number of tokens in the answer.
    pub tokens: u32,
    /// After which time the caller may retry; if `None`, the default for the reason applies.
    pub retry_after_ms: Option<Millis>,
}

impl FinalFields {
    /// Adds when and at which entries the caller may retry.
    #[must_use]
    pub fn complete(self, app: &App) -> FinalAnswer {
        let may_retry = !matches!(
            self.reason,
            Reason::Complete | Reason::BadRequest | Reason::KeyConflict | Reason::KeyExpired
        );
        let retry_after_ms = self
            .retry_after_ms
            .or_else(|| default_retry_after(self.reason));
        FinalAnswer {
            id: self.id,
            outcome: self.outcome,
            reason: self.reason,
            message: self.message,
            tokens: self.tokens,
            retry_after_ms: if may_retry { retry_after_ms } else { None },
            retry_at: if may_retry {
                app.other_entries()
            } else {
                Vec::new()
            },
        }
    }
}

const fn default_retry_after(reason: Reason) -> Option<Millis> {
    match reason {
        Reason::Leaving | Reason::TargetFailed => Some(Millis(100)),
        Reason::NoPath | Reason::Overloaded | Reason::NoQuorum | Reason::InProgress => {
            Some(Millis(1000))
        }
        _ => None,
    }
}

/// The HTTP status for a reason.
#[must_use]
pub const fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::Complete => StatusCode::OK,
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::TargetFailed => StatusCode::BAD_GATEWAY,
        Reason::KeyConflict => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::InProgress => StatusCode::CONFLICT,
        Reason::KeyExpired => StatusCode::GONE,
        Reason::Cancelled | Reason::SlowReader => StatusCode::REQUEST_TIMEOUT,
        Reason::NoPath | Reason::Leaving | Reason::NoQuorum => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Sets the headers that every answer has.
pub fn set_answer_headers(response: &mut Response<Body>, answer: &FinalAnswer) {
    let headers = response.headers_mut();
    let mut set_header = |name: &'static str, text: String| {
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(name, value);
        }
    };
    set_header(REQUEST_ID_HEADER, answer.id.to_string());
    set_header(OUTCOME_HEADER, answer.outcome.to_string());
    if let Some(retry_after_ms) = answer.retry_after_ms {
        set_header("retry-after", retry_after_ms.0.div_ceil(1000).to_string());
    }
}

/// Answers a request that has no complete answer, and counts its outcome.
#[must_use]
pub fn refuse_request(app: &App, fields: FinalFields) -> Response<Body> {
    let answer = fields.complete(app);
    app.metrics.count_outcome(answer.outcome, answer.reason);
    let mut response = json_response(status_of(answer.reason), &answer);
    set_answer_headers(&mut response, &answer);
    response
}
