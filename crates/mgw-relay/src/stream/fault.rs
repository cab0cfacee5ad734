//! Faults that make a stream leave its chain.

use crate::request_sends::SendOutcome;

/// Why a stream can't continue on its current chain. An `EventFault` in the received bytes becomes
/// one of these faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display("{}", self.as_str())]
pub enum StreamFault {
    /// The connection to the first target broke, or the answer ended in the middle of an event.
    ConnectionBroke,
    /// A target of the chain delivers nothing to any stream and failed a probe.
    Silence,
    /// No bytes arrived for so long that the caller would disconnect soon.
    LongPause,
    /// An event is longer than any event that targets send.
    EventTooLong,
    /// Many bytes arrived without a new event among them.
    NoNewEvent,
    /// The number of an event doesn't follow that of the previous one.
    EventMissing,
    /// The entry's own links to the targets were cut under the stream.
    OwnLinks,
    /// The deadline of the request has passed.
    TimeOver,
}

impl StreamFault {
    /// The text for logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionBroke => "connection broke",
            Self::Silence => "silence",
            Self::LongPause => "long pause",
            Self::EventTooLong => "event too long",
            Self::NoNewEvent => "no new event",
            Self::EventMissing => "event missing",
            Self::OwnLinks => "own links cut",
            Self::TimeOver => "time is over",
        }
    }

    /// Whether the chain may still deliver the rest of the stream.
    #[must_use]
    pub const fn leaves_chain_open(self) -> bool {
        matches!(self, Self::Silence | Self::LongPause | Self::OwnLinks)
    }

    /// The outcome of the send over the chain that had this fault.
    #[must_use]
    pub const fn to_send_outcome(self) -> SendOutcome {
        match self {
            Self::ConnectionBroke => SendOutcome::TargetLost,
            _ => SendOutcome::Unknown,
        }
    }
}
