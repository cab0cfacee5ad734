//! One retry budget that all entries share.
//!
//! Load pattern: faults hit some entries at a time, and there are many. An equal part of the budget
//! for each lets most of it lie idle while requests fail for want of a second send. So entries tell
//! their sends, and each is granted an equal part of what is left, again and again.

use std::collections::{BTreeMap, VecDeque};

use mgw_world::{Millis, ServiceName};
use serde::{Deserialize, Serialize};

use super::RetryBudgetSettings;

/// Time over which sends are counted together.
const WINDOW_MS: Millis = Millis(10_000);
/// Part of what is left that is granted at once: entries tell their sends one after the other, and
/// some are granted twice before the first of it is known.
const GRANTED_PART: f64 = 0.5;

/// Sends for one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSends {
    /// The service.
    pub service: ServiceName,
    /// First sends of requests.
    pub first: u64,
    /// Sends beyond the first.
    pub further: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Sends {
    first: u64,
    further: u64,
}

#[derive(Debug)]
struct Step {
    at: Millis,
    service: ServiceName,
    sends: Sends,
}

/// The sends of all entries within the last seconds.
#[derive(Debug, Default)]
pub struct SendWindow {
    began_at: Option<Millis>,
    told: BTreeMap<(String, ServiceName), Sends>,
    steps: VecDeque<Step>,
    sums: BTreeMap<ServiceName, Sends>,
}

impl SendWindow {
    /// Takes the counts of an entry since its start. Counts that fell belong to a new start.
    pub fn record(&mut self, entry: &str, counts: &[ServiceSends], now: Millis) {
        self.began_at.get_or_insert(now);
        for count in counts {
            let told = Sends {
                first: count.first,
                further: count.further,
            };
            let key = (entry.to_owned(), count.service.clone());
            let before = self.told.insert(key, told);
            let is_new = before.is_some_and(|before| before.first > told.first);
            let before = before.filter(|_| !is_new).unwrap_or_default();
            self.add(
                &count.service,
                Sends {
                    first: told.first - before.first,
                    further: told.further.saturating_sub(before.further),
                },
                now,
            );
        }
        self.expire(now);
    }

    /// Sends by service; none before a whole window was heard.
    #[must_use]
    pub fn totals(&self, now: Millis) -> Vec<ServiceSends> {
        let is_whole = self.began_at.is_some_and(|began| now - began >= WINDOW_MS);
        let sums = self.sums.iter().filter(|_| is_whole);
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
        self.steps.push_back(Step {
            at: now,
            service: service.clone(),
            sends,
        });
    }

    fn expire(&mut self, now: Millis) {
        while let Some(step) = self.steps.front() {
            if now - step.at <= WINDOW_MS {
                return;
            }
            if let Some(sum) = self.sums.get_mut(&step.service) {
                sum.first -= step.sends.first;
                sum.further -= step.sends.further;
            }
            self.steps.pop_front();
        }
    }
}

/// Hundredths of a retry that one of `entries` may take until the next word, by what all of them
/// have sent.
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
    let granted = left.max(0.0) * GRANTED_PART / f64::from(entries.max(1));
    (granted * 100.0) as u64
}
