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
    /// Time after which the rest is cut off.
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
pub enum CutOff {
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
    ServingOn,
    /// It answers new requests "not run" with other addresses and waits for those in flight.
    Ending,
    /// Everything in flight has ended; the process exits.
    Empty,
    /// The process exits and these requests are cut off.
    Cut {
        /// Why.
        by: CutOff,
        /// Requests that were in flight.
        requests: Vec<RequestId>,
    },
}

impl LeavingPhase {
    /// Whether the process may exit.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        matches!(self, Self::Empty | Self::Cut { .. })
    }

    /// Whether new requests are still taken.
    #[must_use]
    pub const fn takes_requests(&self) -> bool {
        matches!(self, Self::ServingOn)
    }
}

/// The procedure of one node, from the first signal on.
///
/// ```
/// use mgw_member::{Leaving, LeavingPhase, LeavingSettings};
/// use mgw_world::Millis;
/// let mut leaving = Leaving::new(LeavingSettings::default(), Millis(0));
/// assert_eq!(leaving.step(&[], Millis(1)), LeavingPhase::ServingOn);
/// assert_eq!(leaving.step(&[], Millis(14_000)), LeavingPhase::Empty);
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

    /// The phase now, given the requests in flight. Once over, it stays as it is.
    pub fn step(&mut self, in_flight: &[RequestId], now: Millis) -> LeavingPhase {
        if let Some(ended) = &self.ended {
            return ended.clone();
        }
        let phase = self.judge(in_flight, now);
        if phase.is_over() {
            self.ended = Some(phase.clone());
        }
        phase
    }

    /// Ends the procedure at the second signal.
    pub fn force(&mut self, in_flight: &[RequestId]) -> LeavingPhase {
        let forced = if in_flight.is_empty() {
            LeavingPhase::Empty
        } else {
            LeavingPhase::Cut {
                by: CutOff::SecondSignal,
                requests: in_flight.to_vec(),
            }
        };
        self.ended.get_or_insert(forced).clone()
    }

    fn judge(&self, in_flight: &[RequestId], now: Millis) -> LeavingPhase {
        let span = now - self.since;
        let answers_run_out = span >= self.settings.hear_ms + self.settings.valid_ms;
        if span >= self.settings.limit_ms && !in_flight.is_empty() {
            return LeavingPhase::Cut {
                by: CutOff::Limit,
                requests: in_flight.to_vec(),
            };
        }
        match (answers_run_out, in_flight.is_empty()) {
            (false, _) => LeavingPhase::ServingOn,
            (true, false) => LeavingPhase::Ending,
            (true, true) => LeavingPhase::Empty,
        }
    }
}
