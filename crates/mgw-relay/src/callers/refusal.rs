//! Answers of the relay's own.

use std::error::Error;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use mgw_world::Millis;
use rand::Rng;

/// Body of an answer to a caller.
pub type RelayBody = UnsyncBoxBody<Bytes, TruncatedAnswer>;

/// the answer ended before it was whole: {0}
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub struct TruncatedAnswer(#[error(not(source))] pub &'static str);

/// Time to come back while no routing document is known: beyond an election after all controls
/// have restarted.
const NO_ROUTING_RETRY_MS: Millis = Millis(1_500);
/// Time to come back while layers aren't covered: a target takes that long to load some.
const UNCOVERED_RETRY_MS: Millis = Millis(1_500);
/// Time to come back while all targets are full: about half a usual answer.
const FULL_RETRY_MS: Millis = Millis(1_000);
/// Time to come back after targets that didn't run the request.
const NOT_RUN_RETRY_MS: Millis = Millis(300);

/// An answer of the relay's own to a request that has no answer of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Status.
    pub status: StatusCode,
    /// Why, in words.
    pub reason: &'static str,
    /// When the caller may come back; only for requests that didn't run.
    pub retry_after_ms: Option<Millis>,
}

impl Refusal {
    const fn final_answer(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }

    const fn retry_later(reason: &'static str, retry_after_ms: Millis) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// No routing document is known yet.
    #[must_use]
    pub const fn no_routing() -> Self {
        Self::retry_later("no routing document is known yet", NO_ROUTING_RETRY_MS)
    }

    /// No route begins the path.
    #[must_use]
    pub const fn not_found() -> Self {
        Self::final_answer(StatusCode::NOT_FOUND, "no route begins this path")
    }

    /// No workspace has the key.
    #[must_use]
    pub const fn unknown_key() -> Self {
        Self::final_answer(StatusCode::UNAUTHORIZED, "the key is not known")
    }

    /// The body broke off or is too long.
    #[must_use]
    pub fn bad_body(error: &(dyn Error + 'static)) -> Self {
        if error.is::<LengthLimitError>() {
            Self::final_answer(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
        } else {
            Self::final_answer(StatusCode::BAD_REQUEST, "the body broke off")
        }
    }

    /// The known targets don't cover the model's layers.
    #[must_use]
    pub const fn uncovered() -> Self {
        Self::retry_later("no targets cover all layers", UNCOVERED_RETRY_MS)
    }

    /// All targets are full.
    #[must_use]
    pub const fn full() -> Self {
        Self::retry_later("all targets are full", FULL_RETRY_MS)
    }

    /// No target took the request.
    #[must_use]
    pub const fn not_accepted() -> Self {
        Self::retry_later("no target took the request", NOT_RUN_RETRY_MS)
    }

    /// The time was over before the request was sent.
    #[must_use]
    pub const fn expired_before_send() -> Self {
        Self::retry_later(
            "the time was over before a target took it",
            NOT_RUN_RETRY_MS,
        )
    }

    /// A target may have run the request, and its answer is lost.
    #[must_use]
    pub const fn answer_lost() -> Self {
        Self::final_answer(StatusCode::BAD_GATEWAY, "the answer of the target is lost")
    }

    /// A target may run the request, and its answer didn't come in time.
    #[must_use]
    pub const fn timed_out() -> Self {
        Self::final_answer(
            StatusCode::GATEWAY_TIMEOUT,
            "no answer of the target in time",
        )
    }

    /// The answer on the wire. The time to come back is spread, so that callers that were refused
    /// together don't come back together.
    #[must_use]
    pub fn to_response(self) -> Response<RelayBody> {
        let mut response = Response::new(full_body(Bytes::from_static(self.reason.as_bytes())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(after_ms) = self.retry_after_ms {
            let spread_ms = rand::rng().random_range(0..=after_ms.0 / 2);
            let seconds = (after_ms + Millis(spread_ms)).0 as f64 / 1_000.0;
            if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.2}")) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Wraps bytes as a body.
#[must_use]
pub fn full_body(bytes: Bytes) -> RelayBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
