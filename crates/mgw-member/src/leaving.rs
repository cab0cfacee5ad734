//! How a node leaves: announce, serve on, end what is in flight, exit.

use mgw_world::{Millis, RequestId};
use serde::{Deserialize, Serialize};

/// Times of the procedure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeavingSettings {
    /// How long other entries may still name the leaving one.
    pub hear_ms: Millis,
    /// How long callers keep an answer that names it.
    pub valid_ms: Millis,
    /// Time after which the rest is cut off; no longer than half of it is spent on taking further
    /// requests.
    pub limit_ms: Millis,
}

impl Default for LeavingSettings {
    fn default() -> Self {
        Self {
            hear_ms: Millis(4_000),
            valid_ms: Millis(10_000),
            limit_ms: Millis(120_000),
        }
    }
}

/// What ended the procedure before its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum AbortCause {
    /// The operator asked twice.
    #[display("second signal")]
    SecondSignal,
    /// The limit was reached.
    #[display("limit reached")]
    Limit,
}

/// How far the procedure is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeavingPhase {
    /// It takes requests of callers that still hold its address, and gives out others.
    StillServing,
    /// It answers new requests "not run" with other addresses and waits for those in flight.
    Finishing,
    /// Everything in flight has ended; the process exits.
    Finished,
    /// The process exits and these requests are cut off.
    Aborted {
        /// Why.
        cause: AbortCause,
        /// Requests that were in flight.
        requests: Vec<RequestId>,
        /// Calls that had no answer yet; those of requests that run are among them.
        open_calls: usize,
    },
}

/// What a leaving node still has to end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PendingWork<'a> {
    /// Requests in flight.
    pub requests: &'a [RequestId],
    /// Calls whose answer hasn't begun, such as those that wait for admission.
    pub open_calls: usize,
}

impl PendingWork<'_> {
    const fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.open_calls == 0
    }

    fn aborted(&self, cause: AbortCause) -> LeavingPhase {
        LeavingPhase::Aborted {
            cause,
            requests: self.requests.to_vec(),
            open_calls: self.open_calls,
        }
    }
}

impl LeavingPhase {
    /// Whether the process may exit.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        matches!(self, Self::Finished | Self::Aborted { .. })
    }

    /// Whether new requests are still taken.
    #[must_use]
    pub const fn accepts_requests(&self) -> bool {
        matches!(self, Self::StillServing)
    }
}

/// The procedure of one node, from the first signal on.
///
/// ```
/// use mgw_member::{Leaving, LeavingPhase, LeavingSettings, PendingWork};
/// use mgw_world::Millis;
/// let mut leaving = Leaving::new(LeavingSettings::default(), Millis(0));
/// assert_eq!(leaving.step(PendingWork::default(), Millis(1)), LeavingPhase::StillServing);
/// assert_eq!(leaving.step(PendingWork::default(), Millis(14_000)), LeavingPhase::Finished);
/// ```
#[derive(Debug, Clone)]
pub struct Leaving {
    settings: LeavingSettings,
    since: Millis,
    ended: Option<LeavingPhase>,
}

impl Leaving {
    /// Starts the procedure; the node sets its phase to leaving at the same time.
    #[must_use]
    pub const fn new(settings: LeavingSettings, now: Millis) -> Self {
        Self {
            settings,
            since: now,
            ended: None,
        }
    }

    /// Starts the procedure of a node that never took callers: no answer names it.
    #[must_use]
    pub fn before_serving(settings: LeavingSettings, now: Millis) -> Self {
        let settings = LeavingSettings {
            hear_ms: Millis::ZERO,
            valid_ms: Millis::ZERO,
            ..settings
        };
        Self::new(settings, now)
    }

    /// The phase now, given what hasn't ended yet. Once over, it stays as it is.
    pub fn step(&mut self, pending_work: PendingWork<'_>, now: Millis) -> LeavingPhase {
        if let Some(ended) = &self.ended {
            return ended.clone();
        }
        let phase = self.judge(pending_work, now);
        if phase.is_over() {
            self.ended = Some(phase.clone());
        }
        phase
    }

    /// Ends the procedure at the second signal.
    pub fn force(&mut self, pending_work: PendingWork<'_>) -> LeavingPhase {
        let forced = if pending_work.is_empty() {
            LeavingPhase::Finished
        } else {
            pending_work.aborted(AbortCause::SecondSignal)
        };
        self.ended.get_or_insert(forced).clone()
    }

    /// When the limit is reached.
    #[must_use]
    pub fn limit_at(&self) -> Millis {
        self.since + self.settings.limit_ms
    }

    fn judge(&self, pending_work: PendingWork<'_>, now: Millis) -> LeavingPhase {
        let span = now - self.since;
        let answers_run_out = span >= self.serving_on_ms();
        if span >= self.settings.limit_ms && !pending_work.is_empty() {
            return pending_work.aborted(AbortCause::Limit);
        }
        match (answers_run_out, pending_work.is_empty()) {
            (false, _) => LeavingPhase::StillServing,
            (true, false) => LeavingPhase::Finishing,
            (true, true) => LeavingPhase::Finished,
        }
    }

    /// How long further requests are taken. The rest of the limit is left for ending them.
    fn serving_on_ms(&self) -> Millis {
        let answers_ms = self.settings.hear_ms + self.settings.valid_ms;
        answers_ms.min(Millis(self.settings.limit_ms.0 / 2))
    }
}
