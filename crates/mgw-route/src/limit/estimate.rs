//! Running estimates of how long requests take and how fast the queue drains.

use mgw_world::Millis;

/// Weight of the newest request in the average time for one token.
const NEWEST_WEIGHT: f64 = 0.05;

/// Estimates from finished requests.
#[derive(Debug, Clone)]
pub(super) struct Estimate {
    window_ms: f64,
    ms_per_token: Option<f64>,
    busy_tokens: f64,
    busy_ms: f64,
    last: Millis,
    was_busy: bool,
}

impl Estimate {
    /// An estimate without any request behind it.
    pub fn new(window_ms: Millis) -> Self {
        Self {
            window_ms: (window_ms.0 as f64).max(1.0),
            ms_per_token: None,
            busy_tokens: 0.0,
            busy_ms: 0.0,
            last: Millis::ZERO,
            was_busy: false,
        }
    }

    /// Takes note of the time, and of whether requests wait from now on.
    ///
    /// Only the time in which requests waited tells how much the targets can do.
    pub fn advance(&mut self, now: Millis, is_busy: bool) {
        let span_ms = (now - self.last).0 as f64;
        if self.was_busy && span_ms > 0.0 {
            let kept = (-span_ms / self.window_ms).exp();
            self.busy_tokens *= kept;
            self.busy_ms = self.busy_ms * kept + span_ms;
        }
        self.last = now.max(self.last);
        self.was_busy = is_busy;
    }

    /// Takes in a finished request.
    pub fn finish(&mut self, tokens: u32, took_ms: Millis) {
        let tokens = f64::from(tokens.max(1));
        let sample = took_ms.0 as f64 / tokens;
        let average = self.ms_per_token.get_or_insert(sample);
        *average += NEWEST_WEIGHT * (sample - *average);
        if self.was_busy {
            self.busy_tokens += tokens;
        }
    }

    /// How long a request of this size runs; zero before the first one finished.
    pub fn service_ms(&self, tokens: u32) -> Millis {
        let per_token = self.ms_per_token.unwrap_or(0.0);
        Millis((per_token * f64::from(tokens)).ceil() as u64)
    }

    /// Tokens finished in a millisecond while requests wait; none before enough was seen.
    ///
    /// Until the queue has been seen to drain for half a window, the `running` requests stand in:
    /// each of them makes its tokens at the average time for one.
    pub fn tokens_per_ms(&self, running: usize) -> Option<f64> {
        if self.busy_ms >= self.window_ms / 2.0 && self.busy_tokens > 0.0 {
            return Some(self.busy_tokens / self.busy_ms);
        }
        let per_token = self.ms_per_token.filter(|it| *it > 0.0)?;
        (running > 0).then(|| running as f64 / per_token)
    }
}
