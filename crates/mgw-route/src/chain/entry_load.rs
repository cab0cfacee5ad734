//! Exchange of the load that each entry puts on targets.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

use crate::exclusions::TargetRun;
use crate::limit::{
    AdmissionLevel, AdmissionTable, LevelStep, SendWindow, ServiceDemand, ServiceSends,
};

/// Shortest time between two load reports of an entry.
const MIN_REPORT_INTERVAL_MS: Millis = Millis(400);
/// Time between two load reports for each entry that shares the targets: the control that collects
/// the reports gets a bounded number of them per second, however many entries there are.
const REPORT_INTERVAL_PER_ENTRY_MS: Millis = Millis(5);
/// Shortest time for which a report is valid.
const MIN_REPORT_VALID_MS: Millis = Millis(2_500);
/// Number of report intervals for which a report is valid, so that one may be lost.
const REPORT_VALID_INTERVALS: u64 = 3;

/// Most refusals for lack of room that are kept; the oldest are dropped first.
const MAX_FULL: usize = 1_024;

/// Number of entries that must report a target as lost before the report is passed on to the
/// others: a single entry may itself be cut off from the network.
const MIN_LOST_REPORTS: usize = 2;

/// Time between two load reports of an entry that shares the targets with others.
#[must_use]
pub fn report_interval_ms(entries: u32) -> Millis {
    MIN_REPORT_INTERVAL_MS.max(REPORT_INTERVAL_PER_ENTRY_MS.times(u64::from(entries)))
}

/// How long a load report is valid, and so is a sum of them.
#[must_use]
pub fn report_valid_ms(entries: u32) -> Millis {
    MIN_REPORT_VALID_MS.max(report_interval_ms(entries).times(REPORT_VALID_INTERVALS))
}

/// Load on one target by one entry, or by several together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    /// KV cache that the requests may need there, in tokens times layers.
    pub token_layers: u64,
    /// Requests whose chains include the target.
    pub requests: u32,
    /// Those of them whose chains start at the target.
    pub received: u32,
}

/// A target that refused a request because it had no room for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullTarget {
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    /// Time since the latest refusal.
    pub age_ms: Millis,
}

/// One entry's report of its load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLoad {
    /// Requests in flight at the entry.
    pub requests: u32,
    /// Load on each target in use.
    pub uses: Vec<TargetLoad>,
    /// Targets that didn't answer the entry's last probe.
    pub lost: Vec<SocketAddr>,
    /// Targets that told the entry recently that they are leaving.
    pub leaving: Vec<TargetRun>,
    /// Sends by service since the entry started.
    pub sends: Vec<ServiceSends>,
    /// Targets that recently refused a request of the entry because they had no room.
    pub full: Vec<FullTarget>,
    /// Requests by service and urgency since the entry started; only of services whose routes or
    /// workspaces differ in urgency.
    pub demand: Vec<ServiceDemand>,
}

/// Sum of the reports of all entries but the one that receives it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherEntriesLoad {
    /// Whether every entry has had the time to report. A control that has just begun to collect
    /// reports knows only a part of the entries.
    pub is_complete: bool,
    /// Number of those entries.
    pub entries: u32,
    /// Requests in flight at those entries.
    pub requests: u32,
    /// Load on each target in use.
    pub uses: Vec<TargetLoad>,
    /// Targets that didn't answer the last probe of several entries.
    pub lost: Vec<SocketAddr>,
    /// Targets that told any of the entries recently that they are leaving.
    pub leaving: Vec<TargetRun>,
    /// Sends of all entries, including the receiving one, in the last seconds; empty until a whole
    /// window was observed.
    pub sends: Vec<ServiceSends>,
    /// Targets that recently refused a request of any of the entries because they had no room.
    pub full: Vec<FullTarget>,
    /// Services of which entries admit a part of the requests only.
    pub admission: Vec<AdmissionLevel>,
}

#[derive(Debug, Clone)]
struct Report {
    received_at: Millis,
    load: EntryLoad,
}

/// Load on one target by all entries together.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    token_layers: u64,
    requests: u32,
    received: u32,
    /// Number of entries whose reports name the target.
    reports: u32,
}

impl Sum {
    fn add(&mut self, load: &TargetLoad) {
        self.token_layers += load.token_layers;
        self.requests += load.requests;
        self.received += load.received;
        self.reports += 1;
    }

    fn subtract(&mut self, load: &TargetLoad) {
        self.token_layers -= load.token_layers;
        self.requests -= load.requests;
        self.received -= load.received;
        self.reports -= 1;
    }
}

/// Latest load reports of all entries, kept in memory by one control. They are outdated after a few
/// seconds, so nothing is stored or replicated.
///
/// Sums over all entries are kept up to date with each report, so that the cost of an exchange grows
/// with the number of targets and not with the number of entries.
#[derive(Debug, Default)]
pub struct EntryLoadTable {
    reports: BTreeMap<String, Report>,
    /// Reports in the order of their arrival; those that were replaced since are skipped.
    arrivals: VecDeque<(Millis, String)>,
    sums: BTreeMap<SocketAddr, Sum>,
    /// Number of entries that report each target as lost.
    lost: BTreeMap<SocketAddr, usize>,
    /// Number of entries that report each target as leaving.
    leaving: BTreeMap<TargetRun, usize>,
    /// When each target last refused a request for lack of room.
    full: BTreeMap<SocketAddr, Millis>,
    requests: u32,
    started_at: Option<Millis>,
    sends: SendWindow,
    admission: AdmissionTable,
}

impl EntryLoadTable {
    /// Stores an entry's report and returns the sum of all other entries' reports.
    pub fn exchange(&mut self, entry: &str, load: EntryLoad, now: Millis) -> OtherEntriesLoad {
        self.started_at.get_or_insert(now);
        self.sends.record(entry, &load.sends, now);
        self.record_full(&load.full, now);
        self.remove(entry);
        self.expire(now);
        let mut others = self.others(now);
        self.exchange_admission(entry, &load.demand, &mut others, now);
        self.insert(entry, load, now);
        others
    }

    /// Records an entry's demand and adds the admission levels, once all entries have reported.
    fn exchange_admission(
        &mut self,
        entry: &str,
        demand: &[ServiceDemand],
        others: &mut OtherEntriesLoad,
        now: Millis,
    ) {
        let entries = others.entries + 1;
        self.admission
            .record(entry, demand, report_valid_ms(entries), now);
        if others.is_complete {
            let interval_ms = report_interval_ms(entries);
            others.admission = self.admission.levels(interval_ms, now).to_vec();
        }
    }

    /// Takes the changes of admission levels since the last call, for log lines.
    pub fn take_level_steps(&mut self) -> Vec<LevelStep> {
        self.admission.take_steps()
    }

    fn others(&self, now: Millis) -> OtherEntriesLoad {
        let uses = self.sums.iter().map(|(address, sum)| TargetLoad {
            address: *address,
            token_layers: sum.token_layers,
            requests: sum.requests,
            received: sum.received,
        });
        let lost = self.lost.iter();
        let lost = lost.filter(|(_, reports)| **reports >= MIN_LOST_REPORTS);
        let entries = u32::try_from(self.reports.len()).unwrap_or(u32::MAX);
        let collected_ms = now - self.started_at.unwrap_or(now);
        OtherEntriesLoad {
            is_complete: collected_ms >= report_valid_ms(entries),
            entries,
            requests: self.requests,
            uses: uses.collect(),
            lost: lost.map(|(address, _)| *address).collect(),
            // One report suffices, as it repeats the target's own word.
            leaving: self.leaving.keys().cloned().collect(),
            sends: self.sends.totals(now),
            full: self.full_targets(now),
            admission: Vec::new(),
        }
    }

    /// Keeps the newest refusal of each target for as long as reports are valid.
    fn record_full(&mut self, full: &[FullTarget], now: Millis) {
        let entries = u32::try_from(self.reports.len()).unwrap_or(u32::MAX);
        let valid_ms = report_valid_ms(entries);
        for target in full.iter().take(MAX_FULL) {
            let refused_at = now - target.age_ms;
            let newest = self.full.entry(target.address).or_insert(refused_at);
            *newest = refused_at.max(*newest);
        }
        self.full
            .retain(|_, refused_at| now - *refused_at <= valid_ms);
        while self.full.len() > MAX_FULL {
            let oldest = self.full.iter().min_by_key(|(_, refused_at)| **refused_at);
            let Some(address) = oldest.map(|(address, _)| *address) else {
                return;
            };
            self.full.remove(&address);
        }
    }

    fn full_targets(&self, now: Millis) -> Vec<FullTarget> {
        let full = self.full.iter();
        full.map(|(address, refused_at)| FullTarget {
            address: *address,
            age_ms: now - *refused_at,
        })
        .collect()
    }

    fn insert(&mut self, entry: &str, load: EntryLoad, now: Millis) {
        for target_load in &load.uses {
            self.sums
                .entry(target_load.address)
                .or_default()
                .add(target_load);
        }
        for address in &load.lost {
            *self.lost.entry(*address).or_default() += 1;
        }
        for target in &load.leaving {
            *self.leaving.entry(target.clone()).or_default() += 1;
        }
        self.requests += load.requests;
        self.arrivals.push_back((now, entry.to_owned()));
        let report = Report {
            received_at: now,
            load,
        };
        self.reports.insert(entry.to_owned(), report);
    }

    fn remove(&mut self, entry: &str) {
        let Some(Report { load, .. }) = self.reports.remove(entry) else {
            return;
        };
        for target_load in &load.uses {
            if let Some(sum) = self.sums.get_mut(&target_load.address) {
                sum.subtract(target_load);
                if sum.reports == 0 {
                    self.sums.remove(&target_load.address);
                }
            }
        }
        for address in &load.lost {
            release(&mut self.lost, address);
        }
        for target in &load.leaving {
            release(&mut self.leaving, target);
        }
        self.requests -= load.requests;
    }

    /// Removes the reports that are too old.
    fn expire(&mut self, now: Millis) {
        let entries = u32::try_from(self.reports.len()).unwrap_or(u32::MAX);
        let valid_ms = report_valid_ms(entries);
        while let Some((received_at, _)) = self.arrivals.front() {
            if now - *received_at <= valid_ms {
                return;
            }
            let Some((received_at, entry)) = self.arrivals.pop_front() else {
                return;
            };
            let latest = self.reports.get(&entry);
            if latest.is_some_and(|report| report.received_at == received_at) {
                self.remove(&entry);
            }
        }
    }
}

/// Decrements a count and removes it at zero.
fn release<K: Ord>(counts: &mut BTreeMap<K, usize>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}
