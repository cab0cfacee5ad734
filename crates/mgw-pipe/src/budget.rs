//! A process-wide memory limit for the stage inputs that pipelines buffer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the bytes of stage inputs that all pipelines sharing it have buffered, against a limit.
///
/// Clones share the counter and are cheap.
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
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            used_bytes: Arc::default(),
        }
    }

    /// Bytes buffered now by all pipelines.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Whether the pipelines have buffered more than the limit.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.used_bytes() > self.limit_bytes
    }
}

/// The part of a budget that one pipeline uses; released when it is dropped.
#[derive(Debug, Default)]
pub struct BudgetShare {
    budget: ActivationBudget,
    bytes: u64,
}

impl BudgetShare {
    pub const fn new(budget: ActivationBudget) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Sets the number of bytes that this pipeline uses.
    pub fn set(&mut self, bytes: u64) {
        let used = &self.budget.used_bytes;
        if bytes >= self.bytes {
            used.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }

    /// Whether all pipelines together exceed the budget.
    pub fn is_budget_exceeded(&self) -> bool {
        self.budget.is_exceeded()
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.set(0);
    }
}
