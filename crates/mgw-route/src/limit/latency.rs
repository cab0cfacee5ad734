//! Concurrency of one target as one entry sees it, following the observed latency.

use mgw_world::Millis;

/// Settings of a latency limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyLimitSettings {
    /// Requests allowed before anything was observed.
    pub initial: f64,
    /// The limit never falls below this number of requests.
    pub min: f64,
    /// The limit never rises above this number of requests.
    pub max: f64,
    /// Latency may grow to this multiple of the unloaded latency before the limit falls.
    pub tolerance: f64,
    /// Factor on the limit when it falls.
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

/// Weight of one observation in the short average.
const SHORT_WEIGHT: f64 = 0.1;
/// Rate at which the unloaded latency drifts up towards the short average.
const BASE_DRIFT: f64 = 0.000_01;
/// The limit grows only while at least this part of it is in use.
const USED_PART: f64 = 0.5;

/// A limit that grows by one for each round of steps and falls by a factor once latency passes a
/// multiple of the unloaded latency.
///
/// The multiple is wide because a full batch takes longer than a single step and still carries
/// more tokens.
#[derive(Debug, Clone)]
pub struct LatencyLimit {
    settings: LatencyLimitSettings,
    limit: f64,
    base_ms: f64,
    short_ms: f64,
    hold: u32,
}

impl LatencyLimit {
    /// A limit that has observed nothing yet.
    #[must_use]
    pub fn new(settings: LatencyLimitSettings) -> Self {
        Self {
            settings,
            limit: settings.initial.clamp(settings.min, settings.max),
            base_ms: 0.0,
            short_ms: 0.0,
            hold: 0,
        }
    }

    /// Requests allowed at once.
    #[must_use]
    pub fn allowed(&self) -> u32 {
        self.limit.floor() as u32
    }

    /// Average latency over the last observations; none before the first.
    #[must_use]
    pub fn latency_ms(&self) -> Option<Millis> {
        (self.short_ms > 0.0).then(|| Millis(self.short_ms.round() as u64))
    }

    /// Takes in the latency of one step while `in_flight` requests were running.
    pub fn observe(&mut self, latency_ms: Millis, in_flight: u32) {
        let sample = (latency_ms.0 as f64).max(1.0);
        if self.short_ms <= 0.0 {
            self.short_ms = sample;
            self.base_ms = sample;
            return;
        }
        self.short_ms += SHORT_WEIGHT * (sample - self.short_ms);
        self.base_ms += BASE_DRIFT * (self.short_ms - self.base_ms);
        self.base_ms = self.base_ms.min(self.short_ms);
        self.adapt(in_flight);
    }

    /// Takes in a failure or a timeout.
    pub fn record_failure(&mut self) {
        self.limit = (self.limit * self.settings.decrease).max(self.settings.min);
    }

    /// Falls at most once in a round of steps, so that one slow batch counts once, and from what is
    /// in use: a limit far above that would hold nothing back for many rounds.
    fn adapt(&mut self, in_flight: u32) {
        self.hold = self.hold.saturating_sub(1);
        if self.short_ms > self.base_ms * self.settings.tolerance {
            if self.hold == 0 {
                self.limit = self.limit.min(f64::from(in_flight));
                self.record_failure();
                self.hold = self.allowed().max(1);
            }
            return;
        }
        if f64::from(in_flight) >= self.limit * USED_PART {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.settings.max);
        }
    }
}
