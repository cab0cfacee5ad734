//! Admission levels of all services, worked out by the control that collects the entries' reports.

use std::collections::{BTreeMap, VecDeque};

use mgw_world::{Millis, ServiceName};

use super::admission_rate::{AdmissionRate, Observed, UrgencyRate};
use super::level::{AdmissionLevel, ServiceDemand, UrgencyDemand};

/// Time between two decisions.
const STEP_MS: Millis = Millis(400);
/// Shortest span over which demand is summed.
const MIN_WINDOW_MS: Millis = Millis(800);

/// Ratio of what was offered in the two halves of the window from which on it counts as falling.
const CHANCE_RATIO: f64 = 0.92;
/// Least part of what was offered that may still be expected.
const MIN_TREND: f64 = 0.4;

/// Most changes that are kept for log lines when levels are next asked for.
const MAX_STEPS: usize = 16;

/// How long the counts of an entry that is gone are kept.
const KEPT_MS: Millis = Millis(60_000);

/// Latest counts of an entry.
#[derive(Debug)]
struct Reported {
    at: Millis,
    demand: Vec<ServiceDemand>,
}

/// What one report added to the counts of one service and urgency.
#[derive(Debug)]
struct Increment {
    at: Millis,
    service: ServiceName,
    demand: UrgencyDemand,
}

/// A level that began, ended or moved to another urgency, as decided by the control, with the rates that it
/// was computed from.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelStep {
    /// Name of the service.
    pub service: ServiceName,
    /// Level until now.
    pub from: Option<AdmissionLevel>,
    /// Level from now on.
    pub to: Option<AdmissionLevel>,
    /// Rate at which requests are admitted; `None` while all are.
    pub admitted_per_s: Option<f64>,
    /// What callers sent lately, by urgency.
    pub rates: Vec<UrgencyRate>,
}

/// Demand of all entries in the last seconds, and the levels that follow from it; memory only.
#[derive(Debug, Default)]
pub struct AdmissionTable {
    reported: BTreeMap<String, Reported>,
    increments: VecDeque<Increment>,
    rates: BTreeMap<ServiceName, AdmissionRate>,
    levels: Vec<AdmissionLevel>,
    steps: Vec<LevelStep>,
    decided_at: Option<Millis>,
}

impl AdmissionTable {
    /// Records an entry's counts. Those of an entry that was away for longer than `valid_ms`, or that has
    /// restarted, only begin a new series.
    pub fn record(&mut self, entry: &str, demand: &[ServiceDemand], valid_ms: Millis, now: Millis) {
        if demand.is_empty() && !self.reported.contains_key(entry) {
            return;
        }
        let current = Reported {
            at: now,
            demand: demand.to_vec(),
        };
        let Some(previous) = self.reported.insert(entry.to_owned(), current) else {
            return;
        };
        if now - previous.at > valid_ms {
            return;
        }
        for service in demand {
            for counts in &service.by_urgency {
                let before = find(&previous.demand, &service.service, counts.urgency);
                if let Some(added) = subtract(counts, &before) {
                    self.increments.push_back(Increment {
                        at: now,
                        service: service.service.clone(),
                        demand: added,
                    });
                }
            }
        }
    }

    /// The levels now, decided anew at intervals. `report_interval_ms` is the time between two reports of an
    /// entry.
    pub fn levels(&mut self, report_interval_ms: Millis, now: Millis) -> &[AdmissionLevel] {
        let is_due = self.decided_at.is_none_or(|at| now - at >= STEP_MS);
        self.steps.truncate(MAX_STEPS);
        if is_due {
            let is_first = self.decided_at.replace(now).is_none();
            self.decide(report_interval_ms, is_first, now);
        }
        &self.levels
    }

    /// Takes the changes since the last call, for log lines.
    pub fn take_steps(&mut self) -> Vec<LevelStep> {
        std::mem::take(&mut self.steps)
    }

    /// What callers sent lately, and what came of it.
    fn rates(
        &self,
        service: &ServiceName,
        report_interval_ms: Millis,
        now: Millis,
    ) -> Vec<UrgencyRate> {
        let window_ms = window_ms(report_interval_ms);
        let mut sums: BTreeMap<u8, UrgencyDemand> = BTreeMap::new();
        let recent = self.increments.iter().rev();
        let recent = recent.take_while(|it| now - it.at < window_ms);
        for increment in recent.filter(|it| it.service == *service) {
            let sum = sums.entry(increment.demand.urgency).or_default();
            sum.offered += increment.demand.offered;
            sum.begun += increment.demand.begun;
            sum.full += increment.demand.full;
            sum.below += increment.demand.below;
        }
        let per_s = |count: u64| count as f64 * 1_000.0 / window_ms.0 as f64;
        let trend = self.offered_trend(service, window_ms, now);
        let rates = sums.into_iter().map(|(urgency, sum)| UrgencyRate {
            urgency,
            offered_per_s: per_s(sum.offered) * trend,
            begun_per_s: per_s(sum.begun),
            full_per_s: per_s(sum.full),
            below_per_s: per_s(sum.below),
        });
        rates.collect()
    }

    /// What is offered by the end of the window, against the whole window, where it falls by more than
    /// chance: reports are old, and a level by what was offered then would refuse too many.
    fn offered_trend(&self, service: &ServiceName, window_ms: Millis, now: Millis) -> f64 {
        let mut newer = 0.0;
        let mut older = 0.0;
        for increment in self.increments.iter().filter(|it| it.service == *service) {
            let age_ms = now - increment.at;
            if age_ms.times(2) < window_ms {
                newer += increment.demand.offered as f64;
            } else if age_ms < window_ms {
                older += increment.demand.offered as f64;
            }
        }
        if newer >= older * CHANCE_RATIO {
            return 1.0;
        }
        ((2.0 * newer - older) * 2.0 / (newer + older)).max(MIN_TREND)
    }

    fn decide(&mut self, report_interval_ms: Millis, is_first: bool, now: Millis) {
        let window_ms = window_ms(report_interval_ms);
        while self
            .increments
            .front()
            .is_some_and(|it| now - it.at >= window_ms)
        {
            self.increments.pop_front();
        }
        self.reported
            .retain(|_, reported| now - reported.at <= KEPT_MS);
        for increment in &self.increments {
            self.rates.entry(increment.service.clone()).or_default();
        }
        let services: Vec<ServiceName> = self.rates.keys().cloned().collect();
        let mut former = std::mem::take(&mut self.levels);
        for service in services {
            let rates = self.rates(&service, report_interval_ms, now);
            let observed = Observed {
                rates: &rates,
                settle_ms: report_interval_ms + window_ms,
                is_first,
                is_falling: self.offered_trend(&service, window_ms, now) < 1.0,
            };
            let rate = self.rates.entry(service.clone()).or_default();
            rate.step(&observed, now);
            let level = rate.level(&service, &rates, now);
            let from = former.iter().position(|it| it.service == service);
            let from = from.map(|index| former.swap_remove(index));
            if urgency_of(from.as_ref()) != urgency_of(level.as_ref()) {
                self.steps.push(LevelStep {
                    service,
                    from,
                    to: level.clone(),
                    admitted_per_s: rate.per_s(),
                    rates,
                });
            }
            self.levels.extend(level);
        }
    }
}

/// Spans a whole number of reports of each entry, so that each counts as often as the others.
fn window_ms(report_interval_ms: Millis) -> Millis {
    let reports = MIN_WINDOW_MS.0.div_ceil(report_interval_ms.0.max(1));
    report_interval_ms.times(reports)
}

fn urgency_of(level: Option<&AdmissionLevel>) -> Option<u8> {
    level.map(|level| level.urgency)
}

fn find(demand: &[ServiceDemand], service: &ServiceName, urgency: u8) -> UrgencyDemand {
    let of_service = demand.iter().find(|it| it.service == *service);
    let counts = of_service.and_then(|it| it.by_urgency.iter().find(|it| it.urgency == urgency));
    counts.copied().unwrap_or_default()
}

/// What was added since; `None` if counts fell, as the entry has restarted.
fn subtract(current: &UrgencyDemand, before: &UrgencyDemand) -> Option<UrgencyDemand> {
    Some(UrgencyDemand {
        urgency: current.urgency,
        offered: current.offered.checked_sub(before.offered)?,
        begun: current.begun.checked_sub(before.begun)?,
        full: current.full.checked_sub(before.full)?,
        below: current.below.checked_sub(before.below)?,
    })
}
