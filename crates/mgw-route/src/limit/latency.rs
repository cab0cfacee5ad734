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
    /// Weight of the newest limit against the former.
    pub smoothing: f64,
}

impl Default for LatencyLimitSettings {
    fn default() -> Self {
        Self {
            initial: 16.0,
            min: 1.0,
            max: 256.0,
            tolerance: 2.0,
            smoothing: 0.2,
        }
    }
}

/// Weight of one observation in the short average.
const SHORT_WEIGHT: f64 = 0.1;
/// Rate at which the unloaded latency drifts up towards the short average.
const BASE_DRIFT: f64 = 0.001;
/// Factor on the limit after a failure.
const FAILURE_FACTOR: f64 = 0.7;
/// The limit grows only while at least this part of it is in use.
const USED_PART: f64 = 0.5;

/// A gradient limit: the allowed concurrency follows the ratio of unloaded to present latency.
#[derive(Debug, Clone)]
pub struct LatencyLimit {
    settings: LatencyLimitSettings,
    limit: f64,
    base_ms: f64,
    short_ms: f64,
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
        if self.short_ms < self.base_ms {
            self.base_ms = self.short_ms;
        } else {
            self.base_ms += BASE_DRIFT * (self.short_ms - self.base_ms);
        }
        self.adapt(in_flight);
    }

    /// Takes in a failure or a timeout.
    pub fn fail(&mut self) {
        self.limit = (self.limit * FAILURE_FACTOR).max(self.settings.min);
    }

    fn adapt(&mut self, in_flight: u32) {
        let gradient = (self.settings.tolerance * self.base_ms / self.short_ms).clamp(0.5, 1.0);
        let headroom = self.limit.sqrt();
        let wanted = self.limit * gradient + headroom;
        let unused = f64::from(in_flight) < self.limit * USED_PART;
        if wanted > self.limit && unused {
            return;
        }
        let smoothed = self.limit + self.settings.smoothing * (wanted - self.limit);
        self.limit = smoothed.clamp(self.settings.min, self.settings.max);
    }
}
