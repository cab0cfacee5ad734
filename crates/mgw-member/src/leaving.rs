//! Graceful shutdown of a node: publish that it leaves, keep serving while callers may hold its
//! address, finish requests in flight, exit.

use mgw_world::{Millis, RequestId};
use serde::{Deserialize, Serialize};

/// Time spans of the graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeavingSettings {
    /// How long other entries may still give out the address of the leaving one, until they have
    /// learned that it leaves.
    pub hear_ms: Millis,
    /// How long callers may use an address list that contains it.
    pub valid_ms: Millis,
    /// Time after which the remaining requests are aborted. New requests are accepted for at most
    /// half of it.
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

/// Why the shutdown was aborted before all work finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum AbortCause {
    /// The process received a second shutdown signal.
    #[display("second signal")]
    SecondSignal,
    /// The time limit was reached.
    #[display("limit reached")]
    Limit,
}

/// Phase of the graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeavingPhase {
    /// The node accepts requests from callers that still hold its address, and gives out the
    /// addresses of other entries.
    StillServing,
    /// The node answers new requests "not run" with other addresses and waits for those in flight.
    Finishing,
    /// All work has finished; the process exits.
    Finished,
    /// The process exits and aborts the requests in flight.
    Aborted {
        /// Why the shutdown was aborted.
        cause: AbortCause,
        /// Requests that are aborted.
        requests: Vec<RequestId>,
        /// Calls without an answer so far, including those of running requests.
        open_calls: usize,
    },
}

/// Work that a leaving node still has to finish.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PendingWork<'a> {
    /// Requests in flight.
    pub requests: &'a [RequestId],
    /// Calls whose answer hasn't started, such as those that wait for admission.
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

    /// Whether new requests are still accepted.
    #[must_use]
    pub const fn accepts_requests(&self) -> bool {
        matches!(self, Self::StillServing)
    }
}

/// State machine of the graceful shutdown of one node, starting at the first signal.
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
    started_at: Millis,
    final_phase: Option<LeavingPhase>,
}

impl Leaving {
    /// Starts the shutdown. The caller sets the phase of the node to leaving at the same time.
    #[must_use]
    pub const fn new(settings: LeavingSettings, now: Millis) -> Self {
        Self {
            settings,
            started_at: now,
            final_phase: None,
        }
    }

    /// Starts the shutdown of a node that never served: no address list contains it, so it need not
    /// keep serving.
    #[must_use]
    pub fn before_serving(settings: LeavingSettings, now: Millis) -> Self {
        let settings = LeavingSettings {
            hear_ms: Millis::ZERO,
            valid_ms: Millis::ZERO,
            ..settings
        };
        Self::new(settings, now)
    }

    /// Returns the current phase for the remaining work. A final phase never changes again.
    pub fn step(&mut self, pending_work: PendingWork<'_>, now: Millis) -> LeavingPhase {
        if let Some(final_phase) = &self.final_phase {
            return final_phase.clone();
        }
        let phase = self.determine_phase(pending_work, now);
        if phase.is_over() {
            self.final_phase = Some(phase.clone());
        }
        phase
    }

    /// Ends the shutdown at the second signal, and aborts the remaining work.
    pub fn force(&mut self, pending_work: PendingWork<'_>) -> LeavingPhase {
        let forced = if pending_work.is_empty() {
            LeavingPhase::Finished
        } else {
            pending_work.aborted(AbortCause::SecondSignal)
        };
        self.final_phase.get_or_insert(forced).clone()
    }

    /// When the time limit is reached.
    #[must_use]
    pub fn limit_at(&self) -> Millis {
        self.started_at + self.settings.limit_ms
    }

    fn determine_phase(&self, pending_work: PendingWork<'_>, now: Millis) -> LeavingPhase {
        let elapsed = now - self.started_at;
        let addresses_expired = elapsed >= self.still_serving_ms();
        if elapsed >= self.settings.limit_ms && !pending_work.is_empty() {
            return pending_work.aborted(AbortCause::Limit);
        }
        match (addresses_expired, pending_work.is_empty()) {
            (false, _) => LeavingPhase::StillServing,
            (true, false) => LeavingPhase::Finishing,
            (true, true) => LeavingPhase::Finished,
        }
    }

    /// How long new requests are accepted. The rest of the limit is left for finishing them.
    fn still_serving_ms(&self) -> Millis {
        let addresses_valid_ms = self.settings.hear_ms + self.settings.valid_ms;
        addresses_valid_ms.min(Millis(self.settings.limit_ms.0 / 2))
    }
}
