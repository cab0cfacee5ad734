//! The retry budgets of all services at one entry.

use std::collections::HashMap;

use mgw_route::{
    OtherEntriesLoad, RetryBudget, RetryBudgetSettings, ServiceSends, compute_retry_grant,
};
use mgw_world::ServiceName;

/// Least limit on the saved retries of one entry. A process that doesn't know the other entries yet
/// starts with so many: all of them may have restarted together.
const MIN_SAVED: u32 = 1;

/// A retry budget for each service, created at its first use.
#[derive(Debug)]
pub struct ServiceRetries {
    /// Budget of all entries together.
    shared: RetryBudgetSettings,
    /// This entry's share of the saved retries; zero until the number of entries is known.
    max_saved: u32,
    budgets: HashMap<ServiceName, RetryBudget>,
}

impl ServiceRetries {
    /// Creates an empty set; `shared` is the budget of all entries together for one service.
    #[must_use]
    pub fn new(shared: RetryBudgetSettings) -> Self {
        Self {
            shared,
            max_saved: 0,
            budgets: HashMap::new(),
        }
    }

    /// First sends and retries of this entry, by service.
    #[must_use]
    pub fn own_sends(&self) -> Vec<ServiceSends> {
        let sends = self.budgets.iter().map(|(service, budget)| ServiceSends {
            service: service.clone(),
            first: budget.requests(),
            further: budget.retries(),
        });
        sends.collect()
    }

    /// Divides the limit on saved retries among the entries, and grants retries by what all of them
    /// have sent in the last seconds. Where that isn't known, as the control has just begun to collect
    /// reports, budgets earn retries by their own requests.
    pub fn set_shared(&mut self, other_entries: &OtherEntriesLoad) {
        if !other_entries.is_complete {
            self.resume_earning();
            return;
        }
        let entries = other_entries.entries + 1;
        self.max_saved = self.shared.max_saved / entries;
        let shared = self.shared;
        for (service, budget) in &mut self.budgets {
            budget.set_max_saved(self.max_saved.max(MIN_SAVED));
            let mut all_sends = other_entries.sends.iter();
            match all_sends.find(|sends| sends.service == *service) {
                Some(sends) => budget.grant(compute_retry_grant(&shared, sends, entries)),
                None => budget.resume_earning(),
            }
        }
    }

    /// Lets all budgets earn retries by their own requests again, while grants don't arrive.
    pub fn resume_earning(&mut self) {
        for budget in self.budgets.values_mut() {
            budget.resume_earning();
        }
    }

    /// Counts the first send of a request.
    pub fn count_first_send(&mut self, service: &ServiceName) {
        self.budget(service).count_request();
    }

    /// Whether the budget of a service allows a retry now.
    pub fn has_retry(&mut self, service: &ServiceName) -> bool {
        self.budget(service).has_retry()
    }

    /// Takes a retry from the budget of a service; `false` if the budget is spent.
    pub fn try_retry(&mut self, service: &ServiceName) -> bool {
        self.budget(service).try_retry()
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let settings = RetryBudgetSettings {
            max_saved: self.max_saved.max(MIN_SAVED),
            ..self.shared
        };
        let budgets = &mut self.budgets;
        budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(settings))
    }
}
