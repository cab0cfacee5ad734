//! One bound on the stage inputs that all pipelines of a process hold together.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of stage inputs held by all pipelines that share it; cheap to clone.
#[derive(Debug, Clone)]
pub struct ActivationBudget {
    limit_bytes: u64,
    used_bytes: Arc<AtomicU64>,
}

impl Default for ActivationBudget {
    fn default() -> Self {
        Self::new(u64::MAX)
    }
}

impl ActivationBudget {
    /// A budget of which nothing is used.
    #[must_use]
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            used_bytes: Arc::default(),
        }
    }

    /// Bytes held now.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Whether more is held than allowed.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.used_bytes() > self.limit_bytes
    }
}

/// What one pipeline holds of a budget; given back when it is dropped.
#[derive(Debug, Default)]
pub struct HeldBytes {
    budget: ActivationBudget,
    bytes: u64,
}

impl HeldBytes {
    pub const fn new(budget: ActivationBudget) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Changes what the pipeline holds.
    pub fn set(&mut self, bytes: u64) {
        let used = &self.budget.used_bytes;
        if bytes >= self.bytes {
            used.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }

    /// Whether all pipelines together hold more than allowed.
    pub fn is_exceeded(&self) -> bool {
        self.budget.is_exceeded()
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
