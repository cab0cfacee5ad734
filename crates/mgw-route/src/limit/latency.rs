//! Limits one entry's concurrent requests at a target by the observed latency.

use mgw_world::Millis;

/// Settings of a latency limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyLimitSettings {
    /// Limit before the first observation, in requests.
    pub initial: f64,
    /// The limit never falls below this number of requests.
    pub min: f64,
    /// The limit never rises above this number of requests.
    pub max: f64,
    /// The limit falls once the latency exceeds this multiple of the unloaded latency.
    pub tolerance: f64,
    /// Factor by which the limit is multiplied when it falls.
    pub decrease: f64,
}

impl Default for LatencyLimitSettings {
    fn default() -> Self {
        Self {
            initial: 256.0,
            min: 1.0,
            max: 256.0,
            tolerance: 3.0,
            decrease: 0.7,
        }
    }
}

/// Weight of one observation in the recent average.
const RECENT_WEIGHT: f64 = 0.1;
/// Rate at which the unloaded latency drifts up towards the recent average.
const UNLOADED_DRIFT: f64 = 0.000_01;
/// The limit grows only while at least this fraction of it is in use.
const MIN_USED_FRACTION: f64 = 0.5;

/// A limit that grows by one in each round of steps (as many steps as the limit allows requests)
/// and falls by a factor once the latency exceeds a multiple of the unloaded latency.
///
/// The multiple is large because a full batch takes longer than a single step and still produces
/// more tokens.
#[derive(Debug, Clone)]
pub struct LatencyLimit {
    settings: LatencyLimitSettings,
    limit: f64,
    unloaded_ms: f64,
    recent_ms: f64,
    /// Observations left until the limit may fall again.
    cooldown: u32,
}

impl LatencyLimit {
    /// Creates a limit without any observation.
    #[must_use]
    pub fn new(settings: LatencyLimitSettings) -> Self {
        Self {
            settings,
            limit: settings.initial.clamp(settings.min, settings.max),
            unloaded_ms: 0.0,
            recent_ms: 0.0,
            cooldown: 0,
        }
    }

    /// Requests allowed at once.
    #[must_use]
    pub fn allowed(&self) -> u32 {
        self.limit.floor() as u32
    }

    /// Recent average latency; `None` before the first observation.
    #[must_use]
    pub fn latency_ms(&self) -> Option<Millis> {
        (self.recent_ms > 0.0).then(|| Millis(self.recent_ms.round() as u64))
    }

    /// Records the latency of one step that ran while `in_flight` requests were running.
    pub fn observe(&mut self, latency_ms: Millis, in_flight: u32) {
        let sample = (latency_ms.0 as f64).max(1.0);
        if self.recent_ms <= 0.0 {
            self.recent_ms = sample;
            self.unloaded_ms = sample;
            return;
        }
        self.recent_ms += RECENT_WEIGHT * (sample - self.recent_ms);
        self.unloaded_ms += UNLOADED_DRIFT * (self.recent_ms - self.unloaded_ms);
        self.unloaded_ms = self.unloaded_ms.min(self.recent_ms);
        self.adapt(in_flight);
    }

    /// Lowers the limit after a failure or a timeout.
    pub fn record_failure(&mut self) {
        self.limit = (self.limit * self.settings.decrease).max(self.settings.min);
    }

    /// Lowers the limit at most once in a round of steps, so that one slow batch counts once, and
    /// starts from the requests in flight: a limit far above those would have no effect for many
    /// rounds.
    fn adapt(&mut self, in_flight: u32) {
        self.cooldown = self.cooldown.saturating_sub(1);
        if self.recent_ms > self.unloaded_ms * self.settings.tolerance {
            if self.cooldown == 0 {
                self.limit = self.limit.min(f64::from(in_flight));
                self.record_failure();
                self.cooldown = self.allowed().max(1);
            }
            return;
        }
        if f64::from(in_flight) >= self.limit * MIN_USED_FRACTION {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.settings.max);
        }
    }
}
