//! Limits how fast running requests move to each target when other targets fail.
//!
//! Moving an admitted request is not a caller's retry: refusing the move loses an answer that could
//! still be given. Moves are limited all the same, so that the requests of a dead target don't
//! overload the one that takes over: each target has a token bucket, which allows a burst and then
//! a fixed rate.

use std::collections::BTreeMap;

use mgw_world::{Millis, TargetName};
use serde::Deserialize;

/// Settings of the limit on moves to one target.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MoveSettings {
    /// Capacity of the token bucket: requests that may move to one target at once.
    pub burst: u32,
    /// Refill rate of the token bucket: requests that may move to one target each second.
    pub per_s: u32,
}

impl Default for MoveSettings {
    fn default() -> Self {
        Self {
            burst: 64,
            per_s: 128,
        }
    }
}

/// Buckets count thousandths of a move, because time is measured in milliseconds.
const UNITS_PER_MOVE: u64 = 1000;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Available moves, in units of `UNITS_PER_MOVE`.
    available: u64,
    refilled_at: Millis,
}

/// A token bucket of moves for each target.
///
/// ```
/// use mgw_pipe::{MoveBudget, MoveSettings};
/// use mgw_world::{Millis, TargetName};
/// let mut budget = MoveBudget::new(MoveSettings { burst: 1, per_s: 10 });
/// let target = TargetName::from("pos-engine-2");
/// budget.record_move(&target, Millis(0));
/// assert_eq!(budget.list_exhausted(Millis(50)), [target]);
/// assert!(budget.list_exhausted(Millis(100)).is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct MoveBudget {
    settings: MoveSettings,
    buckets: BTreeMap<TargetName, Bucket>,
}

impl MoveBudget {
    /// Creates a budget with a full bucket for every target.
    #[must_use]
    pub const fn new(settings: MoveSettings) -> Self {
        Self {
            settings,
            buckets: BTreeMap::new(),
        }
    }

    /// Takes one move from the target's bucket.
    pub fn record_move(&mut self, target: &TargetName, now: Millis) {
        let capacity = u64::from(self.settings.burst) * UNITS_PER_MOVE;
        let full = Bucket {
            available: capacity,
            refilled_at: now,
        };
        let bucket = self.buckets.entry(target.clone()).or_insert(full);
        bucket.refill(&self.settings, now);
        bucket.available = bucket.available.saturating_sub(UNITS_PER_MOVE);
    }

    /// The targets to which no further request may move now; also drops buckets that are full
    /// again.
    pub fn list_exhausted(&mut self, now: Millis) -> Vec<TargetName> {
        let settings = &self.settings;
        let capacity = u64::from(settings.burst) * UNITS_PER_MOVE;
        self.buckets.retain(|_, bucket| {
            bucket.refill(settings, now);
            bucket.available < capacity
        });
        let exhausted = self.buckets.iter();
        exhausted
            .filter(|(_, bucket)| bucket.available < UNITS_PER_MOVE)
            .map(|(target, _)| target.clone())
            .collect()
    }
}

impl Bucket {
    fn refill(&mut self, settings: &MoveSettings, now: Millis) {
        let earned = (now - self.refilled_at).times(u64::from(settings.per_s)).0;
        let capacity = u64::from(settings.burst) * UNITS_PER_MOVE;
        self.available = capacity.min(self.available.saturating_add(earned));
        self.refilled_at = now;
    }
}
