//! The time at which a step was sent. A step may wait in a queue before it is sent.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use mgw_world::Millis;

/// Value for a step that has not been sent yet.
const NOT_SENT: u64 = u64::MAX;

/// Time at which a step was sent, shared between the task that sends the step and the task that
/// waits for its result.
#[derive(Debug, Clone)]
pub struct SendTime(Arc<AtomicU64>);

impl Default for SendTime {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(NOT_SENT)))
    }
}

impl SendTime {
    /// Records that the step is sent at `now`.
    pub fn record(&self, now: Millis) {
        self.0.store(now.0, Ordering::Relaxed);
    }

    /// When the step was sent; `None` while it is queued.
    #[must_use]
    pub fn sent_at(&self) -> Option<Millis> {
        let at = self.0.load(Ordering::Relaxed);
        (at != NOT_SENT).then_some(Millis(at))
    }
}
