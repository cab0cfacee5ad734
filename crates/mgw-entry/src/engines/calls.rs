//! What can go wrong in a call to an engine.

use mgw_contract::engine::StepRefusal;

/// A call without a usable answer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum CallError {
    /// no connection to the engine came about; nothing was sent
    NotConnected,
    /// the connection broke or the answer was unusable: {message}
    Broken {
        /// What the transport or the decoder said.
        message: String,
    },
    /// the engine answered with HTTP status {status}
    Status {
        /// The status.
        status: u16,
    },
}

/// A step that brought no output.
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
