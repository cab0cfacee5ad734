//! Why a stream can't stay on its chain.

use crate::request_sends::SendOutcome;

/// Why a stream can't stay on its chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display("{}", self.as_str())]
pub enum StreamFault {
    /// The connection to the first target broke, or the answer ended in the middle of an event.
    ConnectionBroke,
    /// A target of the chain brings nothing to anyone.
    Silence,
    /// Nothing came for longer than callers wait.
    LongPause,
    /// An event is longer than any that a target sends.
    EventTooLong,
    /// An event is missing.
    EventMissing,
    /// The time of the request is over.
    TimeOver,
}

impl StreamFault {
    /// The fault in words, for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionBroke => "connection broke",
            Self::Silence => "silence",
            Self::LongPause => "long pause",
            Self::EventTooLong => "event too long",
            Self::EventMissing => "event missing",
            Self::TimeOver => "time is over",
        }
    }

    /// Whether the chain may still bring the rest.
    #[must_use]
    pub const fn leaves_chain_open(self) -> bool {
        matches!(self, Self::Silence | Self::LongPause)
    }

    /// How the send over the chain ended.
    #[must_use]
    pub const fn to_send_outcome(self) -> SendOutcome {
        match self {
            Self::ConnectionBroke => SendOutcome::TargetLost,
            _ => SendOutcome::Unknown,
        }
    }
}
