//! Makes load reports late and loses some of them, and of the cache events.

use std::collections::VecDeque;

use mgw_contract::target::{CacheEvent, LoadReport};
use mgw_world::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::settings::ReportSettings;

/// What reaches the entries of an engine's reports.
#[derive(Debug, Clone)]
pub struct ReportFilter {
    settings: ReportSettings,
    history: VecDeque<(Millis, LoadReport)>,
    reported: LoadReport,
    random: ChaCha8Rng,
}

impl ReportFilter {
    /// A filter that has reported nothing yet.
    #[must_use]
    pub fn new(settings: ReportSettings) -> Self {
        Self {
            settings,
            history: VecDeque::new(),
            reported: LoadReport::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
        }
    }

    /// Takes the present load and returns the one to report.
    pub fn filter_load(&mut self, now: Millis, load: LoadReport) -> LoadReport {
        self.history.push_back((now, load));
        let is_old = |at: Millis| now - at >= self.settings.load_lag_ms;
        let mut newest = None;
        while let Some((at, load)) = self.history.front().copied()
            && is_old(at)
        {
            newest = Some(load);
            self.history.pop_front();
        }
        if let Some(load) = newest
            && !self.loses(self.settings.load_lost_percent)
        {
            self.reported = load;
        }
        self.reported
    }

    /// Leaves out the cache events that are lost.
    pub fn filter_events(&mut self, events: Vec<CacheEvent>) -> Vec<CacheEvent> {
        let percent = self.settings.events_lost_percent;
        let mut kept = Vec::with_capacity(events.len());
        for event in events {
            if !self.loses(percent) {
                kept.push(event);
            }
        }
        kept
    }

    fn loses(&mut self, percent: u32) -> bool {
        self.random.random_ratio(percent.min(100), 100)
    }
}
