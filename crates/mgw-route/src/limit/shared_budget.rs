//! A retry budget shared by all entries.
//!
//! Load pattern: there are many entries, and faults affect some of them at a time. If each had a
//! fixed equal share of the budget, most of it would be unused while requests fail because they
//! can't be retried. So entries report their sends, and with each report an entry is granted an
//! equal share of what is left of the common budget.

use std::collections::{BTreeMap, VecDeque};

use mgw_world::{Millis, ServiceName};
use serde::{Deserialize, Serialize};

use super::RetryBudgetSettings;

/// Length of the window over which sends are summed.
const WINDOW_MS: Millis = Millis(10_000);
/// Fraction of what is left that is granted at once: entries report their sends one after the
/// other, and some receive a second grant before their use of the first is known.
const GRANTED_FRACTION: f64 = 0.5;

/// Counts of the sends for one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSends {
    /// Name of the service.
    pub service: ServiceName,
    /// First attempts of requests.
    pub first: u64,
    /// Retries of requests: attempts after the first one.
    pub further: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Sends {
    first: u64,
    further: u64,
}

#[derive(Debug)]
struct Increment {
    at: Millis,
    service: ServiceName,
    sends: Sends,
}

/// Sends of all entries within the last seconds.
#[derive(Debug, Default)]
pub struct SendWindow {
    started_at: Option<Millis>,
    /// Counts in the last report of each entry.
    reported: BTreeMap<(String, ServiceName), Sends>,
    increments: VecDeque<Increment>,
    sums: BTreeMap<ServiceName, Sends>,
}

impl SendWindow {
    /// Records an entry's counts since its start. If they fell, the entry has restarted.
    pub fn record(&mut self, entry: &str, counts: &[ServiceSends], now: Millis) {
        self.started_at.get_or_insert(now);
        for count in counts {
            let current = Sends {
                first: count.first,
                further: count.further,
            };
            let key = (entry.to_owned(), count.service.clone());
            let previous = self.reported.insert(key, current);
            let has_restarted = previous.is_some_and(|previous| previous.first > current.first);
            let previous = previous.filter(|_| !has_restarted).unwrap_or_default();
            self.add(
                &count.service,
                Sends {
                    first: current.first - previous.first,
                    further: current.further.saturating_sub(previous.further),
                },
                now,
            );
        }
        self.expire(now);
    }

    /// Sends by service within the window; empty until a whole window was observed.
    #[must_use]
    pub fn totals(&self, now: Millis) -> Vec<ServiceSends> {
        let is_complete = self
            .started_at
            .is_some_and(|started| now - started >= WINDOW_MS);
        let sums = self.sums.iter().filter(|_| is_complete);
        sums.map(|(service, sends)| ServiceSends {
            service: service.clone(),
            first: sends.first,
            further: sends.further,
        })
        .collect()
    }

    fn add(&mut self, service: &ServiceName, sends: Sends, now: Millis) {
        if sends == Sends::default() {
            return;
        }
        let sum = self.sums.entry(service.clone()).or_default();
        sum.first += sends.first;
        sum.further += sends.further;
        self.increments.push_back(Increment {
            at: now,
            service: service.clone(),
            sends,
        });
    }

    fn expire(&mut self, now: Millis) {
        while let Some(increment) = self.increments.front() {
            if now - increment.at <= WINDOW_MS {
                return;
            }
            if let Some(sum) = self.sums.get_mut(&increment.service) {
                sum.first -= increment.sends.first;
                sum.further -= increment.sends.further;
            }
            self.increments.pop_front();
        }
    }
}

/// Hundredths of a retry that one of `entries` may take until its next report, given the sends of
/// all of them.
///
/// ```
/// use mgw_route::{RetryBudgetSettings, ServiceSends, compute_retry_grant};
/// let settings = RetryBudgetSettings { retries_per_hundred: 10, max_saved: 20 };
/// let all = ServiceSends { first: 100, further: 10, ..ServiceSends::default() };
/// assert_eq!(compute_retry_grant(&settings, &all, 2), 500);
/// ```
#[must_use]
pub fn compute_retry_grant(
    settings: &RetryBudgetSettings,
    all: &ServiceSends,
    entries: u32,
) -> u64 {
    let earned = all.first as f64 * f64::from(settings.retries_per_hundred) / 100.0;
    let left = earned + f64::from(settings.max_saved) - all.further as f64;
    let granted = left.max(0.0) * GRANTED_FRACTION / f64::from(entries.max(1));
    (granted * 100.0) as u64
}
