//! Continuous batching: which queued steps join the next iteration and how long it takes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mgw_contract::engine::{SessionKey, StageStep};
use mgw_world::Millis;

/// Parameters of the time that an engine takes for an iteration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IterationTiming {
    /// Minimum duration of an iteration.
    pub step_ms: Millis,
    /// Positions per second at full batch.
    pub tokens_per_s: u32,
}

impl IterationTiming {
    /// Duration of an iteration over `positions` positions, multiplied by `slow_factor`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mgw_standin::engine::IterationTiming;
    /// use mgw_world::Millis;
    /// let timing = IterationTiming { step_ms: Millis(5), tokens_per_s: 1000 };
    /// assert_eq!(timing.iteration_duration(1, 1), Duration::from_millis(5));
    /// assert_eq!(timing.iteration_duration(20, 3), Duration::from_millis(60));
    /// ```
    #[must_use]
    pub fn iteration_duration(self, positions: u32, slow_factor: u32) -> Duration {
        let full_batch = Duration::from_secs(1) * positions / self.tokens_per_s.max(1);
        full_batch.max(self.step_ms.to_duration()) * slow_factor
    }
}

/// A step that waits in the queue for an iteration.
#[derive(Debug)]
pub struct QueuedStep<R> {
    /// Step to run.
    pub step: StageStep,
    /// Time at which the step arrived; its deadline counts from here.
    pub arrived_at: Millis,
    /// Channel or other handle through which the result is returned.
    pub reply: R,
}

impl<R> QueuedStep<R> {
    /// Whether the deadline of the step has passed.
    #[must_use]
    pub fn is_past_deadline(&self, now: Millis) -> bool {
        let deadline_ms = self.step.deadline_ms;
        deadline_ms.is_some_and(|deadline_ms| now - self.arrived_at >= deadline_ms)
    }
}

type QueueKey = (Reverse<u8>, u64);

/// Queued steps, ordered by descending priority and then by arrival.
#[derive(Debug)]
pub struct BatchQueue<R> {
    queue: BTreeMap<QueueKey, QueuedStep<R>>,
    arrival_count: u64,
}

impl<R> Default for BatchQueue<R> {
    fn default() -> Self {
        Self {
            queue: BTreeMap::new(),
            arrival_count: 0,
        }
    }
}

impl<R> BatchQueue<R> {
    /// Adds a step to the queue.
    pub fn push(&mut self, queued: QueuedStep<R>) {
        self.arrival_count += 1;
        let key = (Reverse(queued.step.priority), self.arrival_count);
        self.queue.insert(key, queued);
    }

    /// Number of queued steps.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Removes and returns the steps of the next iteration: at most one step per session and at
    /// most `max_positions` positions, but always at least one step if any is queued.
    pub fn take_batch(&mut self, max_positions: u32) -> Vec<QueuedStep<R>> {
        let mut sessions = BTreeSet::<SessionKey>::new();
        let mut positions = 0;
        let mut keys = Vec::new();
        for (key, queued) in &self.queue {
            let step = &queued.step;
            if positions > 0 && positions + step.count > max_positions {
                break;
            }
            if sessions.insert(step.session) {
                positions += step.count;
                keys.push(*key);
            }
        }
        keys.iter()
            .filter_map(|key| self.queue.remove(key))
            .collect()
    }
}
