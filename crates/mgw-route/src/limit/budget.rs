//! One retry budget for the whole path, so that retries can't multiply under faults.

/// Settings of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries that a hundred requests earn.
    pub retries_per_hundred: u32,
    /// Most retries that can be saved up, and the number that a new budget starts with.
    pub max_saved: u32,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            retries_per_hundred: 10,
            max_saved: 10,
        }
    }
}

/// Cost of one retry, in hundredths.
const RETRY_COST: u64 = 100;

/// A token bucket of retries that requests fill and retries empty.
///
/// All stages and calls of an entry take their retries from the same bucket.
///
/// ```
/// use mgw_route::{RetryBudget, RetryBudgetSettings};
/// let mut budget = RetryBudget::new(RetryBudgetSettings { retries_per_hundred: 10, max_saved: 1 });
/// assert!(budget.try_retry());
/// assert!(!budget.try_retry());
/// for _ in 0..10 {
///     budget.count_request();
/// }
/// assert!(budget.try_retry());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// In hundredths of a retry.
    saved: u64,
    /// Whether retries are granted from a budget shared by several entries, instead of earned.
    is_granted: bool,
    requests: u64,
    retries: u64,
    refused: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            saved: u64::from(settings.max_saved) * RETRY_COST,
            is_granted: false,
            requests: 0,
            retries: 0,
            refused: 0,
        }
    }

    /// Changes how many retries a hundred requests earn.
    pub const fn set_rate(&mut self, retries_per_hundred: u32) {
        self.settings.retries_per_hundred = retries_per_hundred;
    }

    /// Changes the limit on saved retries. Retries above a lower limit are lost; a higher limit
    /// adds none, they have to be earned.
    pub fn set_max_saved(&mut self, max_saved: u32) {
        self.settings.max_saved = max_saved;
        self.saved = self.saved.min(u64::from(max_saved) * RETRY_COST);
    }

    /// Replaces the rest of the last grant by a new grant from a budget shared by several entries,
    /// in hundredths of a retry. A rest of less than one retry is kept, so that small grants add
    /// up.
    pub fn grant(&mut self, hundredths: u64) {
        self.is_granted = true;
        self.saved = self.saved.min(RETRY_COST - 1) + hundredths;
    }

    /// Earns retries by requests again instead of by grants. The rest of the last grant is kept up
    /// to the limit on saved retries.
    pub fn resume_earning(&mut self) {
        if self.is_granted {
            self.is_granted = false;
            self.set_max_saved(self.settings.max_saved);
        }
    }

    /// Counts the first attempt of a request, which earns a fraction of a retry.
    pub fn count_request(&mut self) {
        self.requests += 1;
        if self.is_granted {
            return;
        }
        let max_saved = u64::from(self.settings.max_saved) * RETRY_COST;
        self.saved = max_saved.min(self.saved + u64::from(self.settings.retries_per_hundred));
    }

    /// Whether a retry would be allowed now.
    #[must_use]
    pub const fn has_retry(&self) -> bool {
        self.saved >= RETRY_COST
    }

    /// Takes one retry from the budget; `false` if it is spent and the failure must be reported.
    pub fn try_retry(&mut self) -> bool {
        if !self.has_retry() {
            self.refused += 1;
            return false;
        }
        self.saved -= RETRY_COST;
        self.retries += 1;
        true
    }

    /// Number of requests counted so far.
    #[must_use]
    pub const fn requests(&self) -> u64 {
        self.requests
    }

    /// Number of retries allowed so far.
    #[must_use]
    pub const fn retries(&self) -> u64 {
        self.retries
    }

    /// Number of retries refused so far.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }
}
