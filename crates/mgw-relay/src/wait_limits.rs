//! Limits on the time that a request waits before it is sent.
//!
//! Load patterns: after all processes have restarted, disconnected callers retry within half a
//! second, and each retries only once or twice; routes, targets and capacity become available a
//! second later. In a burst, capacity becomes free many times a second. A short wait serves these
//! callers; a wait that takes much of their time would only keep them from trying another entry.

use mgw_world::Millis;

/// Limits on waiting, as fractions of the time that the request has left and as absolute times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitLimits {
    /// Fraction of the time left that a request waits for free capacity.
    pub capacity_fraction: f64,
    /// Longest wait for free capacity.
    pub max_capacity_wait_ms: Millis,
    /// Fraction of the time left that a request waits for routes and targets in a process that has
    /// just started.
    pub startup_fraction: f64,
    /// Longest wait for routes and targets; callers disconnect after two seconds if a stream hasn't
    /// begun.
    pub max_startup_wait_ms: Millis,
    /// Time after the start in which a process may not know all routes and targets.
    pub startup_ms: Millis,
}

impl Default for WaitLimits {
    fn default() -> Self {
        Self {
            capacity_fraction: 0.05,
            max_capacity_wait_ms: Millis(800),
            startup_fraction: 0.2,
            max_startup_wait_ms: Millis(1_400),
            startup_ms: Millis(6_000),
        }
    }
}

impl WaitLimits {
    /// How long a request with `left_ms` before its deadline may wait for free capacity.
    #[must_use]
    pub fn capacity_wait_ms(&self, left_ms: Millis) -> Millis {
        fraction_of(left_ms, self.capacity_fraction).min(self.max_capacity_wait_ms)
    }

    /// How long a request with `left_ms` before its deadline may wait for targets that asked for a
    /// pause, the first of which ends after `pause_ms`: not at all if the pause is longer than any
    /// wait for capacity.
    #[must_use]
    pub fn pause_wait_ms(&self, left_ms: Millis, pause_ms: Millis) -> Millis {
        let limit_ms = self.capacity_wait_ms(left_ms);
        if pause_ms > limit_ms {
            return Millis::ZERO;
        }
        limit_ms
    }

    /// How long a request with `left_ms` before its deadline may wait for routes and targets, in a
    /// process that started `age_ms` ago.
    #[must_use]
    pub fn startup_wait_ms(&self, left_ms: Millis, age_ms: Millis) -> Millis {
        if age_ms >= self.startup_ms {
            return Millis::ZERO;
        }
        fraction_of(left_ms, self.startup_fraction).min(self.max_startup_wait_ms)
    }
}

fn fraction_of(span_ms: Millis, fraction: f64) -> Millis {
    Millis((span_ms.0 as f64 * fraction) as u64)
}
