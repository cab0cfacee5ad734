//! When callers return whose requests were refused for a rate limit.
//!
//! Load pattern: targets take a part of what arrives, for long. Callers that are refused together and
//! return together would be refused together again.

use mgw_world::Millis;

/// Number of urgencies of requests; 0 is the most urgent.
const URGENCIES: usize = 10;
/// Earliest return.
const MIN_RETURN_MS: Millis = Millis(500);
/// Latest return: callers hardly wait longer, and limits change meanwhile.
const MAX_RETURN_MS: Millis = Millis(10_000);

/// Gives each refused request a place in the sequence in which the limits let requests through, behind
/// those of the same and of higher urgency that were refused before.
#[derive(Debug, Clone, Default)]
pub struct ReturnTimes {
    /// Where the sequence ends for each urgency.
    ends_at: [Millis; URGENCIES],
}

impl ReturnTimes {
    /// Time after which a refused request may return, where this entry may send `per_s` requests a
    /// second.
    pub fn next_ms(&mut self, urgency: u8, per_s: f64, now: Millis) -> Millis {
        let urgency = usize::from(urgency).min(URGENCIES - 1);
        let slot_ms = Millis((1_000.0 / per_s.max(f64::MIN_POSITIVE)).ceil() as u64);
        let slot_ms = slot_ms.min(MAX_RETURN_MS);
        for end in &mut self.ends_at[urgency..] {
            *end = ((*end).max(now) + slot_ms).min(now + MAX_RETURN_MS);
        }
        (self.ends_at[urgency] - now).max(MIN_RETURN_MS)
    }
}
