//! How long a request may wait before it is sent.
//!
//! Load patterns: after all processes have restarted, callers that were cut off come back within
//! half a second, and each comes back only once or twice; routes, targets and room are there a
//! second later. In a burst, room comes free many times a second. A short wait serves these callers;
//! one that takes much of their time would only keep them from asking elsewhere.

use mgw_world::Millis;

/// Parts of a request's time that it may wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiting {
    /// Part of the time left that a request waits for room.
    pub room_part: f64,
    /// Longest wait for room.
    pub room_most_ms: Millis,
    /// Part of the time left that a request waits for routes and targets of a process that started
    /// lately.
    pub start_part: f64,
    /// Longest wait for routes and targets; callers leave a stream that hasn't begun after two
    /// seconds.
    pub start_most_ms: Millis,
    /// Time after its start in which a process may not have heard of all routes and targets.
    pub starting_ms: Millis,
}

impl Default for Waiting {
    fn default() -> Self {
        Self {
            room_part: 0.05,
            room_most_ms: Millis(800),
            start_part: 0.2,
            start_most_ms: Millis(1_400),
            starting_ms: Millis(6_000),
        }
    }
}

impl Waiting {
    /// How long a request with some time left may wait for room.
    #[must_use]
    pub fn room_ms(&self, left_ms: Millis) -> Millis {
        part_of(left_ms, self.room_part).min(self.room_most_ms)
    }

    /// How long a request with some time left may wait for routes and targets, for a process of
    /// some age.
    #[must_use]
    pub fn start_ms(&self, left_ms: Millis, age_ms: Millis) -> Millis {
        if age_ms >= self.starting_ms {
            return Millis::ZERO;
        }
        part_of(left_ms, self.start_part).min(self.start_most_ms)
    }
}

fn part_of(span_ms: Millis, part: f64) -> Millis {
    Millis((span_ms.0 as f64 * part) as u64)
}
