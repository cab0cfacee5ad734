//! Continuous batching: which waiting steps join the next iteration and how long it takes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mgw_contract::engine::{SessionKey, StageStep};
use mgw_world::Millis;

/// Speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IterationTiming {
    /// Shortest time of an iteration.
    pub step_ms: Millis,
    /// Positions a second at full batch.
    pub tokens_per_s: u32,
}

impl IterationTiming {
    /// Time of an iteration over `positions` positions.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mgw_standin::engine::IterationTiming;
    /// use mgw_world::Millis;
    /// let pace = IterationTiming { step_ms: Millis(5), tokens_per_s: 1000 };
    /// assert_eq!(pace.iteration(1, 1), Duration::from_millis(5));
    /// assert_eq!(pace.iteration(20, 3), Duration::from_millis(60));
    /// ```
    #[must_use]
    pub fn iteration(self, positions: u32, slow_factor: u32) -> Duration {
        let full = Duration::from_secs(1) * positions / self.tokens_per_s.max(1);
        full.max(self.step_ms.to_duration()) * slow_factor
    }
}

/// A step that waits for an iteration.
#[derive(Debug)]
pub struct QueuedStep<R> {
    /// The step.
    pub step: StageStep,
    /// When it arrived.
    pub arrived: Millis,
    /// Where its result goes.
    pub reply: R,
}

impl<R> QueuedStep<R> {
    /// Whether its deadline has passed.
    #[must_use]
    pub fn is_late(&self, now: Millis) -> bool {
        let limit = self.step.deadline_ms;
        limit.is_some_and(|limit| now - self.arrived >= limit)
    }
}

type QueueKey = (Reverse<u8>, u64);

/// Steps that wait, by priority and then by arrival.
#[derive(Debug)]
pub struct BatchQueue<R> {
    waiting: BTreeMap<QueueKey, QueuedStep<R>>,
    arrivals: u64,
}

impl<R> Default for BatchQueue<R> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            arrivals: 0,
        }
    }
}

impl<R> BatchQueue<R> {
    /// Adds a step.
    pub fn push(&mut self, waiting: QueuedStep<R>) {
        self.arrivals += 1;
        let key = (Reverse(waiting.step.priority), self.arrivals);
        self.waiting.insert(key, waiting);
    }

    /// Number of waiting steps.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no step waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the steps of the next iteration: at most one of each session and at most
    /// `max_positions` positions, but always at least one step.
    pub fn take(&mut self, max_positions: u32) -> Vec<QueuedStep<R>> {
        let mut sessions = BTreeSet::<SessionKey>::new();
        let mut positions = 0;
        let mut keys = Vec::new();
        for (key, waiting) in &self.waiting {
            let step = &waiting.step;
            if positions > 0 && positions + step.count > max_positions {
                break;
            }
            if sessions.insert(step.session) {
                positions += step.count;
                keys.push(*key);
            }
        }
        keys.iter()
            .filter_map(|key| self.waiting.remove(key))
            .collect()
    }
}
