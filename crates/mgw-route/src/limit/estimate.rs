//! Moving estimates of how long requests run and how fast the queue drains.

use mgw_world::Millis;

/// Weight of the newest request in the average time for one token.
const NEWEST_WEIGHT: f64 = 0.05;

/// Service time and throughput, estimated from finished requests.
#[derive(Debug, Clone)]
pub(super) struct Estimate {
    window_ms: f64,
    ms_per_token: Option<f64>,
    /// Tokens finished while requests were queued, weighted by age.
    saturated_tokens: f64,
    /// Time during which requests were queued, weighted by age.
    saturated_ms: f64,
    updated_at: Millis,
    /// Whether requests have been queued since `updated_at`.
    had_queue: bool,
}

impl Estimate {
    /// Creates an estimate before any request has finished.
    pub fn new(window_ms: Millis) -> Self {
        Self {
            window_ms: (window_ms.0 as f64).max(1.0),
            ms_per_token: None,
            saturated_tokens: 0.0,
            saturated_ms: 0.0,
            updated_at: Millis::ZERO,
            had_queue: false,
        }
    }

    /// Advances the time, and records whether requests are queued from now on.
    ///
    /// Only time in which requests were queued shows the throughput that the targets can reach.
    pub fn advance(&mut self, now: Millis, has_queue: bool) {
        let elapsed_ms = (now - self.updated_at).0 as f64;
        if self.had_queue && elapsed_ms > 0.0 {
            let decay = (-elapsed_ms / self.window_ms).exp();
            self.saturated_tokens *= decay;
            self.saturated_ms = self.saturated_ms * decay + elapsed_ms;
        }
        self.updated_at = now.max(self.updated_at);
        self.had_queue = has_queue;
    }

    /// Records a finished request.
    pub fn record_finished(&mut self, tokens: u32, took_ms: Millis) {
        let tokens = f64::from(tokens.max(1));
        let sample = took_ms.0 as f64 / tokens;
        let average = self.ms_per_token.get_or_insert(sample);
        *average += NEWEST_WEIGHT * (sample - *average);
        if self.had_queue {
            self.saturated_tokens += tokens;
        }
    }

    /// Expected run time of a request of this size; zero before the first one finished.
    pub fn service_ms(&self, tokens: u32) -> Millis {
        let per_token = self.ms_per_token.unwrap_or(0.0);
        Millis((per_token * f64::from(tokens)).ceil() as u64)
    }

    /// Tokens finished per millisecond while requests are queued; `None` without enough data.
    ///
    /// Until requests have been queued for half a window, the rate is estimated from the number of
    /// `running` requests, each of which produces tokens at the average rate.
    pub fn tokens_per_ms(&self, running: usize) -> Option<f64> {
        if self.saturated_ms >= self.window_ms / 2.0 && self.saturated_tokens > 0.0 {
            return Some(self.saturated_tokens / self.saturated_ms);
        }
        let per_token = self.ms_per_token.filter(|it| *it > 0.0)?;
        (running > 0).then(|| running as f64 / per_token)
    }
}
