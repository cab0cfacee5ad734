//! Whether this entry has far more work than the others.
//!
//! Load pattern: while entries restart one after the other, callers open connections to the rest and
//! keep them, so that in the end a few entries carry nearly everything.

use mgw_world::Millis;

/// Times the mean of the others that an entry may have.
const MAX_MEAN_FACTOR: f64 = 1.3;
/// Requests beyond that which are no sign of an imbalance.
const SLACK_REQUESTS: f64 = 4.0;
/// Age beyond which the others' words count no more.
const MAX_AGE_MS: Millis = Millis(2_500);

/// Work of all other entries together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OtherEntriesRequests {
    /// When it was heard.
    pub received_at: Millis,
    /// Number of the other entries.
    pub entries: u32,
    /// Requests in flight there.
    pub requests: u32,
}

impl OtherEntriesRequests {
    /// Whether it counts no more.
    #[must_use]
    pub fn is_stale(&self, now: Millis) -> bool {
        now - self.received_at > MAX_AGE_MS
    }

    /// Whether an entry with some requests in flight has far more than its share.
    #[must_use]
    pub fn is_exceeded_by(&self, requests: u32, now: Millis) -> bool {
        if self.entries == 0 || self.is_stale(now) {
            return false;
        }
        let mean = f64::from(self.requests) / f64::from(self.entries);
        f64::from(requests) > mean * MAX_MEAN_FACTOR + SLACK_REQUESTS
    }
}
