//! Answers that the relay itself gives.

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

/// `Retry-After` while no routing document is known: longer than an election after a restart of all
/// controls.
const NO_ROUTING_RETRY_MS: Millis = Millis(1_500);
/// `Retry-After` while a newer routing document is being fetched.
const OUTDATED_ROUTING_RETRY_MS: Millis = Millis(300);
/// `Retry-After` of a process that ends: another entry takes the request at once.
const ENDING_RETRY_MS: Millis = Millis(50);
/// `Retry-After` while some layers aren't covered: a target takes that long to load layers.
const UNCOVERED_RETRY_MS: Millis = Millis(1_500);
/// `Retry-After` while all targets are full: about half the duration of a usual answer.
const FULL_RETRY_MS: Millis = Millis(1_000);
/// `Retry-After` while a request or a part of its prompt is quarantined, which an operator has to lift.
const QUARANTINED_RETRY_MS: Millis = Millis(60_000);
/// `Retry-After` when no target ran the request.
const NOT_RUN_RETRY_MS: Millis = Millis(300);

/// The relay's answer to a request for which it has no answer of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Reason, which is the body of the answer and appears in log lines.
    pub reason: &'static str,
    /// Time after which the caller may retry; only for requests that didn't run.
    pub retry_after_ms: Option<Millis>,
    /// Whether that time already differs between callers that were refused together.
    pub is_spread: bool,
}

impl Refusal {
    /// A refusal after which the caller shouldn't retry.
    const fn final_answer(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
            is_spread: false,
        }
    }

    /// A refusal of a request that didn't run, so that the caller may retry it.
    const fn retry_later(reason: &'static str, retry_after_ms: Millis) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(retry_after_ms),
            is_spread: false,
        }
    }

    /// No routing document is known yet.
    #[must_use]
    pub const fn no_routing() -> Self {
        Self::retry_later("no routing document is known yet", NO_ROUTING_RETRY_MS)
    }

    /// A control has a newer routing document that isn't in force here yet, so that a missing route or
    /// key may be one that it adds.
    #[must_use]
    pub const fn outdated_routing() -> Self {
        Self::retry_later(
            "a newer routing document is being fetched",
            OUTDATED_ROUTING_RETRY_MS,
        )
    }

    /// The process ends before a target could answer.
    #[must_use]
    pub const fn ending() -> Self {
        Self::retry_later("the process ends", ENDING_RETRY_MS)
    }

    /// No route has a prefix of the path.
    #[must_use]
    pub const fn not_found() -> Self {
        Self::final_answer(StatusCode::NOT_FOUND, "no route begins this path")
    }

    /// No workspace has the key.
    #[must_use]
    pub const fn unknown_key() -> Self {
        Self::final_answer(StatusCode::UNAUTHORIZED, "the key is not known")
    }

    /// The request's body ended early or is too long.
    #[must_use]
    pub fn bad_body(error: &(dyn Error + 'static)) -> Self {
        if error.is::<LengthLimitError>() {
            Self::final_answer(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
        } else {
            Self::final_answer(StatusCode::BAD_REQUEST, "the body broke off")
        }
    }

    /// The request's body didn't arrive whole within the caller's own time. It wasn't sent to a target.
    #[must_use]
    pub const fn late_body() -> Self {
        Self::final_answer(
            StatusCode::REQUEST_TIMEOUT,
            "the body didn't arrive in time",
        )
    }

    /// The known targets don't cover the model's layers.
    #[must_use]
    pub const fn uncovered() -> Self {
        Self::retry_later("no targets cover all layers", UNCOVERED_RETRY_MS)
    }

    /// Targets end under this request, or under those with a part of its prompt, so it isn't sent.
    #[must_use]
    pub const fn quarantined() -> Self {
        Self::retry_later(
            "the request or a part of its prompt is quarantined",
            QUARANTINED_RETRY_MS,
        )
    }

    /// All targets that could serve the request asked for a pause, the first of which ends after
    /// `pause_ms`.
    #[must_use]
    pub const fn paused(pause_ms: Millis) -> Self {
        Self::retry_later("all targets asked for a pause", pause_ms)
    }

    /// The rate limits of the targets leave no room for the request. They let those of this entry that were
    /// refused before it through within `return_ms`.
    #[must_use]
    pub const fn limited(return_ms: Millis) -> Self {
        Self::retry_later("the rate limits of the targets are reached", return_ms)
    }

    /// The request is below the admission level, and goes before new ones of its urgency after `return_ms`.
    #[must_use]
    pub const fn below_level(return_ms: Millis) -> Self {
        Self {
            is_spread: true,
            ..Self::retry_later("more urgent requests take the room", return_ms)
        }
    }

    /// Whether targets or the entry had no room for the request.
    #[must_use]
    pub fn is_for_room(&self) -> bool {
        [Self::full(), Self::not_accepted()].contains(self)
    }

    /// All targets are full.
    #[must_use]
    pub const fn full() -> Self {
        Self::retry_later("all targets are full", FULL_RETRY_MS)
    }

    /// No target accepted the request.
    #[must_use]
    pub const fn not_accepted() -> Self {
        Self::retry_later("no target took the request", NOT_RUN_RETRY_MS)
    }

    /// The deadline passed before the request was sent.
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

    /// A target may be running the request, and its answer didn't arrive in time.
    #[must_use]
    pub const fn timed_out() -> Self {
        Self::final_answer(
            StatusCode::GATEWAY_TIMEOUT,
            "no answer of the target in time",
        )
    }

    /// Builds the HTTP response. `Retry-After` gets random jitter, so that callers that were
    /// refused at the same time don't retry at the same time.
    #[must_use]
    pub fn to_response(self) -> Response<RelayBody> {
        let mut response = Response::new(full_body(Bytes::from_static(self.reason.as_bytes())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(after_ms) = self.retry_after_ms {
            let max_jitter_ms = if self.is_spread { 0 } else { after_ms.0 / 2 };
            let jitter_ms = rand::rng().random_range(0..=max_jitter_ms);
            let seconds = (after_ms + Millis(jitter_ms)).0 as f64 / 1_000.0;
            if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.2}")) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Makes a body of bytes that are all there already.
#[must_use]
pub fn full_body(bytes: Bytes) -> RelayBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
