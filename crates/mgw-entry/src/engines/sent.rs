//! When a step was sent, which may be later than it was handed over.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use mgw_world::Millis;

/// Stands for a step that still waits.
const WAITS: u64 = u64::MAX;

/// Shared between the one that sends a step and the one that waits for its result.
#[derive(Debug, Clone)]
pub struct SentMark(Arc<AtomicU64>);

impl Default for SentMark {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(WAITS)))
    }
}

impl SentMark {
    /// Notes that the step is sent.
    pub fn set(&self, now: Millis) {
        self.0.store(now.0, Ordering::Relaxed);
    }

    /// When the step was sent; none while it waits.
    #[must_use]
    pub fn sent_at(&self) -> Option<Millis> {
        let at = self.0.load(Ordering::Relaxed);
        (at != WAITS).then_some(Millis(at))
    }
}
