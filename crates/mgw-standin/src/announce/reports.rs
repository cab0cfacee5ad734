//! Simulates delayed and lost load reports and lost cache events.

use std::collections::VecDeque;

use mgw_contract::target::{CacheEvent, LoadReport};
use mgw_world::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::settings::ReportSettings;

/// Delays and drops the reports of a target before they are announced.
#[derive(Debug, Clone)]
pub struct ReportFilter {
    settings: ReportSettings,
    /// Loads that are too recent to be reported.
    delayed: VecDeque<(Millis, LoadReport)>,
    last_reported: LoadReport,
    random: ChaCha8Rng,
}

impl ReportFilter {
    /// Creates a filter; until a load is due it reports the default load.
    #[must_use]
    pub fn new(settings: ReportSettings) -> Self {
        Self {
            settings,
            delayed: VecDeque::new(),
            last_reported: LoadReport::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
        }
    }

    /// Records the current load and returns the one to report, which lags behind.
    pub fn filter_load(&mut self, now: Millis, load: LoadReport) -> LoadReport {
        self.delayed.push_back((now, load));
        let is_due = |at: Millis| now - at >= self.settings.load_lag_ms;
        let mut newest_due = None;
        while let Some((at, load)) = self.delayed.front().copied()
            && is_due(at)
        {
            newest_due = Some(load);
            self.delayed.pop_front();
        }
        if let Some(load) = newest_due
            && !self.draws_loss(self.settings.load_lost_percent)
        {
            self.last_reported = load;
        }
        self.last_reported
    }

    /// Drops the cache events that are to be lost and returns the others.
    pub fn filter_events(&mut self, events: Vec<CacheEvent>) -> Vec<CacheEvent> {
        let lost_percent = self.settings.events_lost_percent;
        let mut remaining = Vec::with_capacity(events.len());
        for event in events {
            if !self.draws_loss(lost_percent) {
                remaining.push(event);
            }
        }
        remaining
    }

    fn draws_loss(&mut self, percent: u32) -> bool {
        self.random.random_ratio(percent.min(100), 100)
    }
}
