//! How long a request may wait before it is sent.
//!
//! Load patterns: after all processes have restarted, callers that were cut off come back within
//! half a second, and each comes back only once or twice; routes, targets and room are there a
//! second later. In a burst, room comes free many times a second. A short wait serves these callers;
//! one that takes much of their time would only keep them from asking elsewhere.

use mgw_world::Millis;

/// Parts of a request's time that it may wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitLimits {
    /// Part of the time left that a request waits for room.
    pub capacity_fraction: f64,
    /// Longest wait for room.
    pub max_capacity_wait_ms: Millis,
    /// Part of the time left that a request waits for routes and targets of a process that started
    /// lately.
    pub startup_fraction: f64,
    /// Longest wait for routes and targets; callers leave a stream that hasn't begun after two
    /// seconds.
    pub max_startup_wait_ms: Millis,
    /// Time after its start in which a process may not have heard of all routes and targets.
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
    /// How long a request with some time left may wait for room.
    #[must_use]
    pub fn capacity_wait_ms(&self, left_ms: Millis) -> Millis {
        fraction_of(left_ms, self.capacity_fraction).min(self.max_capacity_wait_ms)
    }

    /// How long a request with some time left may wait for routes and targets, for a process of
    /// some age.
    #[must_use]
    pub fn startup_wait_ms(&self, left_ms: Millis, age_ms: Millis) -> Millis {
        if age_ms >= self.startup_ms {
            return Millis::ZERO;
        }
        fraction_of(left_ms, self.startup_fraction).min(self.max_startup_wait_ms)
    }
}

fn fraction_of(span_ms: Millis, part: f64) -> Millis {
    Millis((span_ms.0 as f64 * part) as u64)
}
