//! Bounds how fast running requests move to each target when others fail.
//!
//! Moving a request that was admitted is no retry of the caller's: refusing it loses an answer that
//! could be given. It is bounded all the same, so that the requests of a dead target don't crush
//! the one that takes over: each target takes a burst, and then so many a second.

use std::collections::BTreeMap;

use mgw_world::{Millis, TargetName};
use serde::Deserialize;

/// Settings of the bound on moves.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MoveSettings {
    /// Requests that may move to one target at once.
    pub burst: u32,
    /// Requests that may move to one target each second after that.
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

/// Thousandths of a move.
const COST_OF_MOVE: u64 = 1000;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    saved: u64,
    at: Millis,
}

/// A bucket of moves for each target.
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
    /// A full budget for every target.
    #[must_use]
    pub const fn new(settings: MoveSettings) -> Self {
        Self {
            settings,
            buckets: BTreeMap::new(),
        }
    }

    /// Counts a request that moves to a target.
    pub fn record_move(&mut self, target: &TargetName, now: Millis) {
        let most = u64::from(self.settings.burst) * COST_OF_MOVE;
        let full = Bucket {
            saved: most,
            at: now,
        };
        let bucket = self.buckets.entry(target.clone()).or_insert(full);
        bucket.refill(&self.settings, now);
        bucket.saved = bucket.saved.saturating_sub(COST_OF_MOVE);
    }

    /// Targets that take no further request just now.
    pub fn list_exhausted(&mut self, now: Millis) -> Vec<TargetName> {
        let settings = &self.settings;
        let most = u64::from(settings.burst) * COST_OF_MOVE;
        self.buckets.retain(|_, bucket| {
            bucket.refill(settings, now);
            bucket.saved < most
        });
        let spent = self.buckets.iter();
        spent
            .filter(|(_, bucket)| bucket.saved < COST_OF_MOVE)
            .map(|(target, _)| target.clone())
            .collect()
    }
}

impl Bucket {
    fn refill(&mut self, settings: &MoveSettings, now: Millis) {
        let earned = (now - self.at).times(u64::from(settings.per_s)).0;
        let most = u64::from(settings.burst) * COST_OF_MOVE;
        self.saved = most.min(self.saved.saturating_add(earned));
        self.at = now;
    }
}
