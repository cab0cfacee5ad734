//! Order in which requests that wait for room at an entry try again.

use std::collections::BTreeSet;

use mgw_world::Millis;

/// Weight of the latest interval between two releases of room in their mean.
const LATEST_WEIGHT: f64 = 0.2;

/// A waiting request: the most urgent one is the least, among equals the one that came first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterKey {
    urgency: u8,
    number: u64,
}

/// Requests that wait for room, the most urgent first, among equals the one that waits longest.
///
/// ```
/// use mgw_route::UrgencyQueue;
/// use mgw_world::Millis;
/// let mut queue = UrgencyQueue::default();
/// queue.join(2);
/// let urgent = queue.join(0);
/// assert_eq!(queue.record_freed(Millis(5)), Some(urgent));
/// assert!(!queue.may_try(2));
/// ```
#[derive(Debug, Default)]
pub struct UrgencyQueue {
    waiting: BTreeSet<WaiterKey>,
    next_number: u64,
    freed_at: Option<Millis>,
    /// Mean time between two releases of room.
    freed_interval_ms: Option<f64>,
}

impl UrgencyQueue {
    /// Adds a request of an urgency, where 0 is the most urgent.
    pub fn join(&mut self, urgency: u8) -> WaiterKey {
        let key = WaiterKey {
            urgency,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(key);
        key
    }

    /// Removes a request that has found room or has given up.
    pub fn leave(&mut self, key: WaiterKey) {
        self.waiting.remove(&key);
    }

    /// Whether a request of this urgency may try: none that waits is more urgent.
    #[must_use]
    pub fn may_try(&self, urgency: u8) -> bool {
        self.waiting.first().is_none_or(|it| it.urgency >= urgency)
    }

    /// Records that room was released; returns the request that is to try first.
    pub fn record_freed(&mut self, now: Millis) -> Option<WaiterKey> {
        if let Some(freed_at) = self.freed_at.replace(now) {
            let latest_ms = (now - freed_at).0 as f64;
            let mean_ms = self.freed_interval_ms.unwrap_or(latest_ms);
            self.freed_interval_ms = Some(mean_ms + (latest_ms - mean_ms) * LATEST_WEIGHT);
        }
        self.waiting.first().copied()
    }

    /// Estimated time until the more urgent requests that wait now have found room, from the mean interval of
    /// releases; `None` if none of them waits or fewer than two releases were seen.
    #[must_use]
    pub fn expected_wait_ms(&self, urgency: u8) -> Option<Millis> {
        let before = WaiterKey { urgency, number: 0 };
        let more_urgent = self.waiting.range(..before).count();
        let interval_ms = self.freed_interval_ms.filter(|_| more_urgent > 0)?;
        Some(Millis((interval_ms * more_urgent as f64) as u64))
    }
}
