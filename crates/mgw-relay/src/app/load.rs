//! What the entries tell each other about the targets: their load, losses and refusals.

use std::sync::atomic::Ordering;

use mgw_route::{ChainRouter, EntryLoad, FullTarget, OtherEntriesLoad};
use tracing::info;

use super::state::{App, to_gauge};
use crate::balance::OtherEntriesRequests;

impl App {
    /// The load report of this entry for the other entries.
    #[must_use]
    pub fn own_load(&self) -> EntryLoad {
        let now = self.clock.now();
        let requests = self.in_flight();
        let chains = self.chains.lock();
        let routers = chains.values();
        EntryLoad {
            requests,
            uses: routers.clone().flat_map(ChainRouter::own_loads).collect(),
            lost: routers
                .clone()
                .flat_map(|router| router.own_lost_targets(now))
                .collect(),
            full: routers
                .flat_map(|router| router.own_full_targets(now))
                .collect(),
            leaving: self.exclusions.lock().leaving_to_report(now),
            sends: self.retries.lock().own_sends(),
            demand: self.admission.lock().gate().demand(),
        }
    }

    /// Sets the summed load of all other entries and grants retries by it.
    pub fn set_other_entries_load(&self, other_entries: &OtherEntriesLoad) {
        let now = self.clock.now();
        for router in self.chains.lock().values_mut() {
            router.set_other_entries_load(&other_entries.uses, &other_entries.lost, now);
        }
        self.record_lost_by_others(other_entries.lost.len());
        self.learn_full_targets(&other_entries.full);
        if other_entries.is_complete {
            self.set_entries(other_entries.entries + 1);
            self.knows_entries.store(true, Ordering::Relaxed);
        }
        self.retries.lock().set_shared(other_entries);
        self.apply_admission(other_entries);
        for target in &other_entries.leaving {
            self.record_leaving(target, "another entry");
        }
        *self.other_entries_requests.lock() = Some(OtherEntriesRequests {
            received_at: now,
            entries: other_entries.entries,
            requests: other_entries.requests,
        });
    }

    /// Shows how many targets are suspected because other entries have lost them.
    fn record_lost_by_others(&self, lost: usize) {
        let gauge = &self.metrics.lost_by_others;
        let lost = to_gauge(lost as u64);
        if gauge.get() != lost {
            info!(
                from = gauge.get(),
                to = lost,
                "targets lost by other entries"
            );
            gauge.set(lost);
        }
    }

    /// Lowers the room of targets that refused requests of other entries.
    fn learn_full_targets(&self, full: &[FullTarget]) {
        let now = self.clock.now();
        let mut chains = self.chains.lock();
        let routers = chains.values_mut();
        let learnt: usize = routers
            .map(|router| router.learn_full_targets(full, now))
            .sum();
        let routers = chains.values();
        let limited: usize = routers.map(|router| router.count_full_targets(now)).sum();
        drop(chains);
        self.metrics.set_full_targets(learnt, limited);
        if learnt > 0 {
            info!(
                learnt,
                limited, "room of targets lowered by refusals of other entries"
            );
        }
    }

    /// Records that the other entries' load didn't arrive. Once the last one is stale, budgets earn
    /// retries by their own requests again.
    pub fn record_missed_exchange(&self) {
        let now = self.clock.now();
        if self
            .other_entries_requests
            .lock()
            .is_none_or(|others| others.is_stale(now))
        {
            self.retries.lock().resume_earning();
        }
    }
}
