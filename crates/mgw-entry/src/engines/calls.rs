//! Errors of calls to engines.

use mgw_contract::engine::StepRefusal;

/// Why a call to an engine has no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum CallError {
    /// could not connect to the engine; nothing was sent
    NotConnected,
    /// the connection broke or the answer was unusable: {message}
    Broken {
        /// Error message of the transport or of the decoder.
        message: String,
    },
    /// the engine answered with HTTP status {status}
    Status {
        /// HTTP status code of the answer.
        status: u16,
    },
}

/// Why a step has no output.
#[derive(
    Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error, derive_more::From,
)]
pub enum StepError {
    /// the engine refused the step: {0}
    Refused(StepRefusal),
    /// the step got no answer: {0}
    NoAnswer(CallError),
}

impl CallError {
    /// Whether any byte of the call may have reached the engine.
    #[must_use]
    pub const fn may_have_been_sent(&self) -> bool {
        !matches!(self, Self::NotConnected)
    }
}
