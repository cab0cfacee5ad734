//! One budget of retries for the whole path, so that retries can't multiply under faults.

/// Settings of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries earned by a hundred requests.
    pub retries_per_hundred: u32,
    /// Most retries saved up; also what a fresh budget holds.
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

const COST_OF_RETRY: u64 = 100;

/// A bucket of retries that requests fill and retries empty.
///
/// One bucket serves all stages and calls of an entry: whoever wants to retry takes from it.
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
    /// Whether retries are granted from a budget that several share, and not earned.
    is_granted: bool,
    requests: u64,
    retries: u64,
    refused: u64,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            saved: u64::from(settings.max_saved) * COST_OF_RETRY,
            is_granted: false,
            requests: 0,
            retries: 0,
            refused: 0,
        }
    }

    /// Sets how many retries a hundred requests earn from now on.
    pub const fn set_rate(&mut self, retries_per_hundred: u32) {
        self.settings.retries_per_hundred = retries_per_hundred;
    }

    /// Sets how many retries are saved up at most from now on. What was saved beyond that is lost;
    /// a higher limit has to be earned.
    pub fn set_max_saved(&mut self, max_saved: u32) {
        self.settings.max_saved = max_saved;
        self.saved = self.saved.min(u64::from(max_saved) * COST_OF_RETRY);
    }

    /// Takes hundredths of a retry that were granted from a budget that several share, in place of
    /// what is left of the last grant; less than one retry is kept, so that small grants add up.
    pub fn grant(&mut self, hundredths: u64) {
        self.is_granted = true;
        self.saved = self.saved.min(COST_OF_RETRY - 1) + hundredths;
    }

    /// Retries are earned again; of a grant no more is kept than is saved up at most.
    pub fn resume_earning(&mut self) {
        if self.is_granted {
            self.is_granted = false;
            self.set_max_saved(self.settings.max_saved);
        }
    }

    /// Counts a first try and earns its part of a retry.
    pub fn count_request(&mut self) {
        self.requests += 1;
        if self.is_granted {
            return;
        }
        let most = u64::from(self.settings.max_saved) * COST_OF_RETRY;
        self.saved = most.min(self.saved + u64::from(self.settings.retries_per_hundred));
    }

    /// Whether a retry would be allowed now.
    #[must_use]
    pub const fn has_retry(&self) -> bool {
        self.saved >= COST_OF_RETRY
    }

    /// Takes one retry; `false` when the budget is spent and the failure has to be reported.
    pub fn try_retry(&mut self) -> bool {
        if !self.has_retry() {
            self.refused += 1;
            return false;
        }
        self.saved -= COST_OF_RETRY;
        self.retries += 1;
        true
    }

    /// Requests counted so far.
    #[must_use]
    pub const fn requests(&self) -> u64 {
        self.requests
    }

    /// Retries allowed so far.
    #[must_use]
    pub const fn retries(&self) -> u64 {
        self.retries
    }

    /// Retries refused so far.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }
}
