//! How often a request may be sent, and what may be said when no target answered it.

/// How a send of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum SendOutcome {
    /// No byte left this process.
    #[display("not sent")]
    NotSent,
    /// The target states that it didn't run the request.
    #[display("not run")]
    NotRun,
    /// The connection broke; the target may have run the request.
    #[display("target lost")]
    TargetLost,
    /// The target may have run the request.
    #[display("unknown")]
    Unknown,
}

/// Whether a status tells a caller that its request didn't run and never will.
#[must_use]
pub const fn says_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Most sends that failed before a byte left, for one request.
const MAX_UNSENT: u32 = 3;
/// Sends of a repeatable request beyond its targets, for those that stated that they didn't run it.
const EXTRA_SENDS: u32 = 1;

/// Account of one request's sends.
///
/// ```
/// use mgw_relay::{Tries, TryEnd};
/// let mut tries = Tries::new(1, false);
/// assert!(tries.may_send());
/// tries.note(TryEnd::Unknown);
/// assert!(!tries.may_send());
/// assert!(tries.may_have_run());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RequestSends {
    max_targets: u32,
    may_repeat: bool,
    unsent: u32,
    not_run: u32,
    ran: u32,
}

impl RequestSends {
    /// The account of a request that may be sent to `max_targets` targets, and may run more than
    /// once if `may_repeat`.
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

    /// Notes how a send ended.
    pub const fn record(&mut self, outcome: SendOutcome) {
        match outcome {
            SendOutcome::NotSent => self.unsent += 1,
            SendOutcome::NotRun => self.not_run += 1,
            SendOutcome::TargetLost | SendOutcome::Unknown => self.ran += 1,
        }
    }

    /// Whether another send is allowed. A target that stated that it didn't run a repeatable request
    /// leaves room for one further send; one whose connection broke may be alive and count.
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

    /// Sends that reached a target.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.not_run + self.ran
    }
}
