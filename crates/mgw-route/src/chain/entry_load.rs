//! Exchange of the load that each entry puts on targets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

use crate::exclusions::TargetRun;
use crate::limit::{SendWindow, ServiceSends};

/// Age beyond which an entry's report is dropped; entries send one about twice a second.
const REPORT_VALID_MS: Millis = Millis(2_500);

/// Number of entries that must report a target as lost before the report is passed on to the
/// others: a single entry may itself be cut off from the network.
const MIN_LOST_REPORTS: usize = 2;

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
}

/// Sum of the reports of all entries but the one that receives it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherEntriesLoad {
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
}

#[derive(Debug, Clone)]
struct Report {
    received_at: Millis,
    load: EntryLoad,
}

/// Latest load reports of all entries, kept in memory by one control. They are outdated after a few
/// seconds, so nothing is stored or replicated.
#[derive(Debug, Default)]
pub struct EntryLoadTable {
    reports: BTreeMap<String, Report>,
    sends: SendWindow,
}

impl EntryLoadTable {
    /// Stores an entry's report and returns the sum of all other entries' reports.
    pub fn exchange(&mut self, entry: &str, load: EntryLoad, now: Millis) -> OtherEntriesLoad {
        self.sends.record(entry, &load.sends, now);
        let report = Report {
            received_at: now,
            load,
        };
        self.reports.insert(entry.to_owned(), report);
        self.reports
            .retain(|_, report| now - report.received_at <= REPORT_VALID_MS);
        let mut sums: BTreeMap<SocketAddr, TargetLoad> = BTreeMap::new();
        let reports = self.reports.iter().filter(|(name, _)| *name != entry);
        let loads: Vec<&EntryLoad> = reports.map(|(_, report)| &report.load).collect();
        for target_load in loads.iter().flat_map(|load| &load.uses) {
            let sum = sums.entry(target_load.address).or_insert(TargetLoad {
                token_layers: 0,
                requests: 0,
                received: 0,
                ..*target_load
            });
            sum.token_layers += target_load.token_layers;
            sum.requests += target_load.requests;
            sum.received += target_load.received;
        }
        OtherEntriesLoad {
            entries: u32::try_from(loads.len()).unwrap_or(u32::MAX),
            requests: loads.iter().map(|load| load.requests).sum(),
            uses: sums.into_values().collect(),
            lost: find_lost(&loads),
            leaving: collect_leaving(&loads),
            sends: self.sends.totals(now),
        }
    }
}

/// Targets that any entry reports as leaving. One report suffices, as it repeats the target's own
/// word.
fn collect_leaving(loads: &[&EntryLoad]) -> Vec<TargetRun> {
    let leaving = loads.iter().flat_map(|load| &load.leaving);
    let leaving: BTreeSet<&TargetRun> = leaving.collect();
    leaving.into_iter().cloned().collect()
}

/// Targets that at least [`MIN_LOST_REPORTS`] entries report as lost.
fn find_lost(loads: &[&EntryLoad]) -> Vec<SocketAddr> {
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for address in loads.iter().flat_map(|load| &load.lost) {
        *counts.entry(*address).or_default() += 1;
    }
    let lost = counts
        .into_iter()
        .filter(|(_, count)| *count >= MIN_LOST_REPORTS);
    lost.map(|(address, _)| address).collect()
}
