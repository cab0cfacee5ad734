//! Counts the sends of a request: whether it may be sent again, and whether it may have run.

/// Outcome of sending a request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum SendOutcome {
    /// No byte of the request left this process.
    #[display("not sent")]
    NotSent,
    /// The target states that it didn't run the request.
    #[display("not run")]
    NotRun,
    /// The connection broke; the target may have run the request.
    #[display("target lost")]
    TargetLost,
    /// The target may have run the request, for any other reason.
    #[display("unknown")]
    Unknown,
}

/// Whether a status tells a caller that its request didn't run and never will.
#[must_use]
pub const fn says_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Largest number of sends of one request that may fail before a byte left this process.
const MAX_UNSENT: u32 = 3;
/// Extra sends of a repeatable request beyond its number of targets, allowed when a target stated
/// that it didn't run the request.
const EXTRA_SENDS: u32 = 1;

/// The sends of one request so far.
///
/// ```
/// use mgw_relay::{RequestSends, SendOutcome};
/// let mut sends = RequestSends::new(1, false);
/// assert!(sends.may_send());
/// sends.record(SendOutcome::Unknown);
/// assert!(!sends.may_send());
/// assert!(sends.may_have_run());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RequestSends {
    max_targets: u32,
    may_repeat: bool,
    /// Sends that failed before a byte left this process.
    unsent: u32,
    /// Sends after which the target stated that it didn't run the request.
    not_run: u32,
    /// Sends after which the target may have run the request.
    ran: u32,
}

impl RequestSends {
    /// Starts counting for a request that may be sent to `max_targets` targets, and that may run
    /// more than once if `may_repeat` is set.
    #[must_use]
    pub const fn new(max_targets: u32, may_repeat: bool) -> Self {
        Self {
            max_targets,
            may_repeat,
            unsent: 0,
            not_run: 0,
            ran: 0,
        }
    }

    /// Records the outcome of a send.
    pub const fn record(&mut self, outcome: SendOutcome) {
        match outcome {
            SendOutcome::NotSent => self.unsent += 1,
            SendOutcome::NotRun => self.not_run += 1,
            SendOutcome::TargetLost | SendOutcome::Unknown => self.ran += 1,
        }
    }

    /// Whether another send is allowed. A target that stated that it didn't run a repeatable
    /// request allows one extra send; a target whose connection broke may still run the request, so
    /// it counts as one of `max_targets`.
    #[must_use]
    pub const fn may_send(&self) -> bool {
        if self.unsent >= MAX_UNSENT {
            return false;
        }
        if !self.may_repeat {
            return self.ran == 0 && self.not_run < self.max_targets;
        }
        let sent = self.ran + self.not_run;
        self.ran < self.max_targets && sent < self.max_targets + EXTRA_SENDS
    }

    /// Whether any target may have run the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.ran > 0
    }

    /// Whether the next send needs a connection of its own, which holds no earlier answer: a request that may run
    /// once only, and one that was sent before, as a second copy of its first answer bears its id.
    #[must_use]
    pub const fn needs_new_connection(&self) -> bool {
        !self.may_repeat || self.sent() > 0
    }

    /// Number of sends that may have reached a target.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.not_run + self.ran
    }
}
