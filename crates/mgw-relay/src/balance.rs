//! Detects that this entry has far more requests in flight than the others.
//!
//! Load pattern: while entries restart one after the other, callers open connections to the rest
//! and keep them, so that in the end a few entries serve nearly all requests.

use mgw_route::report_valid_ms;
use mgw_world::Millis;

/// Factor by which an entry's requests in flight may exceed the mean of the others.
const MAX_MEAN_FACTOR: f64 = 1.3;
/// Requests beyond that limit that still don't count as an imbalance.
const SLACK_REQUESTS: f64 = 4.0;

/// Requests in flight at all other entries together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OtherEntriesRequests {
    /// When the load of the other entries was received.
    pub received_at: Millis,
    /// Number of the other entries.
    pub entries: u32,
    /// Sum of their requests in flight.
    pub requests: u32,
}

impl OtherEntriesRequests {
    /// Whether the numbers are too old to be used.
    #[must_use]
    pub fn is_stale(&self, now: Millis) -> bool {
        now - self.received_at > report_valid_ms(self.entries + 1)
    }

    /// Whether an entry with this number of requests in flight has far more than its share.
    #[must_use]
    pub fn is_exceeded_by(&self, requests: u32, now: Millis) -> bool {
        if self.entries == 0 || self.is_stale(now) {
            return false;
        }
        let mean = f64::from(self.requests) / f64::from(self.entries);
        f64::from(requests) > mean * MAX_MEAN_FACTOR + SLACK_REQUESTS
    }
}
