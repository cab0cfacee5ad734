//! The retry budgets of all services at one entry.

use std::collections::HashMap;

use mgw_route::{
    OtherEntriesLoad, RetryBudget, RetryBudgetSettings, ServiceSends, compute_retry_grant,
};
use mgw_world::ServiceName;

/// Least number of entries among which a new retry budget is divided. A process that has just
/// started doesn't know the other entries yet, and all entries that restart together begin with a
/// new budget.
const STARTING_ENTRIES: u32 = 32;
/// Least fraction of the entries whose load reports must be known for a grant of retries; the rest
/// may have restarted.
const MIN_REPORTED_FRACTION: f64 = 0.9;

/// A retry budget for each service, created at its first use.
#[derive(Debug)]
pub struct ServiceRetries {
    /// Budget of all entries together.
    shared: RetryBudgetSettings,
    /// Number of entries that share the budget, including this one.
    entries: u32,
    budgets: HashMap<ServiceName, RetryBudget>,
}

impl ServiceRetries {
    /// Creates an empty set; `shared` is the budget of all entries together for one service.
    #[must_use]
    pub fn new(shared: RetryBudgetSettings) -> Self {
        Self {
            shared,
            entries: 1,
            budgets: HashMap::new(),
        }
    }

    /// Sets the number of entries and divides the limit on saved retries among them.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries;
        let share = self.shared.max_saved / entries.max(1);
        for budget in self.budgets.values_mut() {
            budget.set_max_saved(share);
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

    /// Grants retries by what all entries have sent, if nearly all entries have reported.
    pub fn grant(&mut self, other_entries: &OtherEntriesLoad) {
        let entries = self.entries;
        let reported = f64::from(other_entries.entries + 1);
        let has_enough_reports = reported >= f64::from(entries) * MIN_REPORTED_FRACTION;
        for (service, budget) in &mut self.budgets {
            let mut all_sends = other_entries.sends.iter();
            match all_sends.find(|sends| sends.service == *service) {
                Some(sends) if has_enough_reports => {
                    budget.grant(compute_retry_grant(&self.shared, sends, entries));
                }
                _ => budget.resume_earning(),
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
        let entries = self.entries.max(STARTING_ENTRIES);
        let settings = RetryBudgetSettings {
            max_saved: self.shared.max_saved / entries,
            ..self.shared
        };
        let budgets = &mut self.budgets;
        budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(settings))
    }
}
