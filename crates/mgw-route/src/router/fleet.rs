//! The targets that a router knows, and what it has in flight at each.

use std::collections::BTreeMap;
use std::sync::Arc;

use mgw_contract::target::LoadReport;
use mgw_world::{Millis, Target, TargetName};
use slotmap::SlotMap;

use super::{RouterSettings, TargetInput, TargetView};
use crate::prefix::digest_name;
use crate::{LatencyLimit, LatencyLimitSettings};

slotmap::new_key_type! {
    /// Names a target within one router.
    pub(crate) struct TargetKey;
}

/// Part of a target's KV memory that may be filled beyond the share of this entry.
const LENDABLE_KV: f64 = 0.9;
/// Load reports older than this don't allow an entry to exceed its share.
const FRESH_REPORT_MS: Millis = Millis(1_000);
/// Most doublings of the time out of choice.
const MAX_DOUBLINGS: u32 = 16;

/// Steps in which a warming target's share grows; each step costs a new plan.
const WARM_STEPS: f64 = 16.0;

fn round_share(warm_share: f64) -> f64 {
    (warm_share.clamp(0.0, 1.0) * WARM_STEPS).ceil() / WARM_STEPS
}

/// Local failures of a target.
#[derive(Debug, Clone, Copy, Default)]
struct Suspicion {
    failures: u32,
    last: Millis,
    until: Millis,
}

/// One target and what this router has in flight there.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    /// The target as it announced itself.
    pub target: Arc<Target>,
    /// Part of its capacity that may be used.
    pub warm_share: f64,
    /// Newest load report.
    pub load: LoadReport,
    /// When that report was made.
    pub load_at: Millis,
    /// Whether it takes new work.
    pub in_choice: bool,
    /// Requests in flight from here.
    pub in_flight: u32,
    /// Bytes of KV memory reserved from here.
    pub kv_bytes: u64,
    /// The same at every entry.
    pub name_digest: u64,
    limit: LatencyLimit,
    suspicion: Suspicion,
}

impl Record {
    fn new(input: TargetInput, now: Millis, settings: LatencyLimitSettings) -> Self {
        let most = f64::from(input.target.limits.max_requests.max(1));
        let limit = LatencyLimit::new(LatencyLimitSettings {
            initial: settings.initial.min(most),
            max: settings.max.min(most),
            ..settings
        });
        Self {
            load_at: now - input.load_age_ms,
            name_digest: digest_name(input.target.name.as_str()),
            target: input.target,
            warm_share: input.warm_share,
            load: input.load,
            in_choice: true,
            in_flight: 0,
            kv_bytes: 0,
            limit,
            suspicion: Suspicion::default(),
        }
    }

    /// Whether one more request with this KV memory fits, as far as this entry can tell.
    ///
    /// An entry may use its equal share of the target at any time, and up to twice as much while
    /// a fresh report shows the rest unused.
    pub fn has_room(&self, kv_bytes: u64, entries: u32, now: Millis) -> bool {
        if self.in_flight >= self.limit.allowed() {
            return false;
        }
        let limits = self.target.limits;
        let request_share = limits.max_requests.div_ceil(entries);
        let kv_share = limits.kv_bytes / u64::from(entries);
        let wanted_kv = self.kv_bytes.saturating_add(kv_bytes);
        if self.in_flight < request_share && wanted_kv <= kv_share {
            return true;
        }
        let is_fresh = now - self.load_at <= FRESH_REPORT_MS;
        let requests = self.load.in_flight.saturating_add(self.in_flight);
        let free_requests = self.in_flight < request_share * 2 && requests < limits.max_requests;
        let lendable = (limits.kv_bytes as f64 * LENDABLE_KV) as u64;
        let kv = self.load.kv_bytes_used.saturating_add(wanted_kv);
        let free_kv = wanted_kv <= kv_share * 2 && kv <= lendable;
        let request_fits = self.in_flight < request_share || free_requests;
        let kv_fits = wanted_kv <= kv_share || free_kv;
        is_fresh && request_fits && kv_fits
    }

    /// Requests that this router allows itself here.
    pub fn allowed(&self, entries: u32) -> u32 {
        let share = self.target.limits.max_requests.div_ceil(entries);
        self.limit.allowed().min(share.max(1))
    }

    /// Whether it is out of choice after local failures.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.suspicion.until > now
    }

    /// When it comes back into choice.
    pub fn suspect_until(&self) -> Millis {
        self.suspicion.until
    }

    /// Takes in the latency of a step.
    pub fn observe(&mut self, latency_ms: Millis) {
        self.limit.observe(latency_ms, self.in_flight);
    }

    /// Takes it out of choice; each further failure doubles the time.
    pub fn suspect(&mut self, settings: &RouterSettings, now: Millis) {
        let known = self.suspicion;
        let is_repeated = known.failures > 0 && now - known.last < settings.forgive_ms;
        let failures = if is_repeated { known.failures + 1 } else { 1 };
        let doublings = (failures - 1).min(MAX_DOUBLINGS);
        let span = settings
            .suspect_ms
            .times(1 << doublings)
            .min(settings.max_suspect_ms);
        self.suspicion = Suspicion {
            failures,
            last: now,
            until: known.until.max(now + span),
        };
        self.limit.record_failure();
    }

    fn view(&self, entries: u32) -> TargetView {
        TargetView {
            name: self.target.name.clone(),
            in_flight: self.in_flight,
            kv_bytes: self.kv_bytes,
            allowed: self.allowed(entries),
            latency_ms: self.limit.latency_ms(),
            suspect_until: (self.suspicion.failures > 0).then_some(self.suspicion.until),
            in_choice: self.in_choice,
        }
    }
}

/// All targets that a router knows.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    records: SlotMap<TargetKey, Record>,
    names: BTreeMap<TargetName, TargetKey>,
}

impl Fleet {
    /// Replaces the targets in choice; returns whether anything but their loads changed.
    pub fn update(
        &mut self,
        inputs: impl IntoIterator<Item = TargetInput>,
        now: Millis,
        settings: LatencyLimitSettings,
    ) -> bool {
        let mut has_changed = false;
        let inputs = inputs.into_iter().map(|input| TargetInput {
            warm_share: round_share(input.warm_share),
            ..input
        });
        let mut seen = slotmap::SecondaryMap::new();
        for input in inputs {
            let (key, changed) = self.update_one(input, now, settings);
            seen.insert(key, ());
            has_changed |= changed;
        }
        for (key, record) in &mut self.records {
            if record.in_choice && !seen.contains_key(key) {
                record.in_choice = false;
                has_changed = true;
            }
        }
        has_changed
    }

    fn update_one(
        &mut self,
        input: TargetInput,
        now: Millis,
        settings: LatencyLimitSettings,
    ) -> (TargetKey, bool) {
        let known = self.names.get(&input.target.name).copied();
        let Some(key) = known.filter(|key| self.records.contains_key(*key)) else {
            let name = input.target.name.clone();
            let key = self.records.insert(Record::new(input, now, settings));
            self.names.insert(name, key);
            return (key, true);
        };
        let record = &mut self.records[key];
        let is_same = record.in_choice
            && record.warm_share == input.warm_share
            && (Arc::ptr_eq(&record.target, &input.target) || record.target == input.target);
        if record.target.incarnation != input.target.incarnation {
            let fresh = Record::new(input, now, settings);
            let held = std::mem::replace(record, fresh);
            record.in_flight = held.in_flight;
            record.kv_bytes = held.kv_bytes;
            return (key, true);
        }
        record.in_choice = true;
        record.load_at = now - input.load_age_ms;
        record.load = input.load;
        record.warm_share = input.warm_share;
        record.target = input.target;
        (key, !is_same)
    }

    /// Removes targets out of choice that hold nothing, and returns their keys.
    pub fn remove_unused(&mut self) -> Vec<TargetKey> {
        let is_unused = |record: &Record| !record.in_choice && record.in_flight == 0;
        let records = self.records.iter();
        let unused: Vec<_> = records
            .filter(|(_, it)| is_unused(it))
            .map(|(key, _)| key)
            .collect();
        for key in &unused {
            if let Some(record) = self.records.remove(*key) {
                self.names.remove(&record.target.name);
            }
        }
        unused
    }

    /// The key of a target.
    pub fn key(&self, name: &TargetName) -> Option<TargetKey> {
        self.names.get(name).copied()
    }

    /// A target.
    pub fn get(&self, key: TargetKey) -> Option<&Record> {
        self.records.get(key)
    }

    /// A target, to be changed.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Record> {
        self.records.get_mut(key)
    }

    /// All targets in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Record)> {
        let keys = self.names.values();
        keys.filter_map(|key| Some((*key, self.records.get(*key)?)))
    }

    /// All targets as shown to others.
    pub fn views(&self, entries: u32) -> Vec<TargetView> {
        self.iter()
            .map(|(_, record)| record.view(entries))
            .collect()
    }
}
