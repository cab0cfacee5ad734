//! The targets that a router knows, and the requests and KV memory that it uses at each.

use std::collections::BTreeMap;
use std::sync::Arc;

use mgw_contract::target::LoadReport;
use mgw_world::{Millis, Target, TargetName, hash_bytes};
use slotmap::SlotMap;

use super::{RouterSettings, TargetInput, TargetView};
use crate::{LatencyLimit, LatencyLimitSettings};

slotmap::new_key_type! {
    /// Identifies a target within one router.
    pub(crate) struct TargetKey;
}

/// Fraction of a target's KV memory in use up to which an entry may exceed its own share.
const MAX_BORROWED_KV_USE: f64 = 0.9;
/// Maximum age of a load report that allows an entry to exceed its share.
const MAX_REPORT_AGE_MS: Millis = Millis(1_000);
/// Maximum number of times that the suspect time doubles.
const MAX_DOUBLINGS: u32 = 16;

/// Number of steps in which a warming target's share grows. Each step requires a new plan.
const WARM_STEPS: f64 = 16.0;

/// Rounds a warm share up to the next of `WARM_STEPS` steps.
fn round_warm_share(warm_share: f64) -> f64 {
    (warm_share.clamp(0.0, 1.0) * WARM_STEPS).ceil() / WARM_STEPS
}

/// Recent local failures of a target.
#[derive(Debug, Clone, Copy, Default)]
struct LocalFailures {
    /// Number of failures, each within `suspect_reset_ms` of the one before.
    count: u32,
    /// Time of the last failure.
    last_at: Millis,
    /// Until when the target isn't chosen.
    suspect_until: Millis,
}

/// A target with its latest report and the requests and KV memory that this router uses there.
#[derive(Debug, Clone)]
pub(crate) struct TargetState {
    /// Description that the target announced.
    pub target: Arc<Target>,
    /// Fraction of the target's capacity that may be used, from 0 to 1.
    pub warm_share: f64,
    /// Latest load report.
    pub load: LoadReport,
    /// When `load` was made.
    pub load_reported_at: Millis,
    /// Whether the target accepts new requests; local failures aren't considered here.
    pub eligible: bool,
    /// Requests of this router in flight at the target.
    pub in_flight: u32,
    /// Bytes of KV memory that this router has reserved at the target.
    pub kv_bytes: u64,
    /// Digest of the target's name; the same at every entry.
    pub name_digest: u64,
    latency_limit: LatencyLimit,
    local_failures: LocalFailures,
}

impl TargetState {
    fn new(input: TargetInput, now: Millis, settings: LatencyLimitSettings) -> Self {
        let max_requests = f64::from(input.target.limits.max_requests.max(1));
        let latency_limit = LatencyLimit::new(LatencyLimitSettings {
            initial: settings.initial.min(max_requests),
            max: settings.max.min(max_requests),
            ..settings
        });
        Self {
            load_reported_at: now - input.load_age_ms,
            name_digest: hash_bytes(input.target.name.as_str().bytes()),
            target: input.target,
            warm_share: input.warm_share,
            load: input.load,
            eligible: true,
            in_flight: 0,
            kv_bytes: 0,
            latency_limit,
            local_failures: LocalFailures::default(),
        }
    }

    /// Whether the target can accept one more request with this KV memory, by this entry's latest
    /// information.
    ///
    /// An entry may use its equal share of the target at any time, and up to twice that share while
    /// a fresh load report shows spare capacity.
    pub fn can_accept(&self, kv_bytes: u64, entries: u32, now: Millis) -> bool {
        if self.in_flight >= self.latency_limit.allowed() {
            return false;
        }
        let limits = self.target.limits;
        let request_share = limits.max_requests.div_ceil(entries);
        let kv_share = limits.kv_bytes / u64::from(entries);
        let required_kv = self.kv_bytes.saturating_add(kv_bytes);
        if self.in_flight < request_share && required_kv <= kv_share {
            return true;
        }
        let is_fresh = now - self.load_reported_at <= MAX_REPORT_AGE_MS;
        let total_requests = self.load.in_flight.saturating_add(self.in_flight);
        let may_borrow_requests =
            self.in_flight < request_share * 2 && total_requests < limits.max_requests;
        let max_used_kv = (limits.kv_bytes as f64 * MAX_BORROWED_KV_USE) as u64;
        let used_kv = self.load.kv_bytes_used.saturating_add(required_kv);
        let may_borrow_kv = required_kv <= kv_share * 2 && used_kv <= max_used_kv;
        let request_fits = self.in_flight < request_share || may_borrow_requests;
        let kv_fits = required_kv <= kv_share || may_borrow_kv;
        is_fresh && request_fits && kv_fits
    }

    /// Maximum number of requests that this router keeps in flight at the target: the lower of its
    /// share and the latency limit.
    pub fn request_limit(&self, entries: u32) -> u32 {
        let share = self.target.limits.max_requests.div_ceil(entries);
        self.latency_limit.allowed().min(share.max(1))
    }

    /// Whether the target isn't chosen at the moment because of local failures.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.local_failures.suspect_until > now
    }

    /// When the target can be chosen again after local failures.
    pub fn suspect_until(&self) -> Millis {
        self.local_failures.suspect_until
    }

    /// Updates the latency limit with the latency of one step.
    pub fn record_step_latency(&mut self, latency_ms: Millis) {
        self.latency_limit.observe(latency_ms, self.in_flight);
    }

    /// Marks the target as suspect for a while, so that it isn't chosen; each repeated failure
    /// doubles the time.
    pub fn mark_suspect(&mut self, settings: &RouterSettings, now: Millis) {
        let previous = self.local_failures;
        let is_repeated = previous.count > 0 && now - previous.last_at < settings.suspect_reset_ms;
        let count = if is_repeated { previous.count + 1 } else { 1 };
        let doublings = (count - 1).min(MAX_DOUBLINGS);
        let suspect_for = settings
            .suspect_ms
            .times(1 << doublings)
            .min(settings.max_suspect_ms);
        self.local_failures = LocalFailures {
            count,
            last_at: now,
            suspect_until: previous.suspect_until.max(now + suspect_for),
        };
        self.latency_limit.record_failure();
    }

    fn view(&self, entries: u32) -> TargetView {
        TargetView {
            name: self.target.name.clone(),
            in_flight: self.in_flight,
            kv_bytes: self.kv_bytes,
            request_limit: self.request_limit(entries),
            latency_ms: self.latency_limit.latency_ms(),
            suspect_until: (self.local_failures.count > 0)
                .then_some(self.local_failures.suspect_until),
            eligible: self.eligible,
        }
    }
}

/// All targets that a router knows, by key and by name.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    states: SlotMap<TargetKey, TargetState>,
    keys_by_name: BTreeMap<TargetName, TargetKey>,
}

impl Fleet {
    /// Replaces the eligible targets; returns whether anything except their loads changed.
    pub fn update(
        &mut self,
        inputs: impl IntoIterator<Item = TargetInput>,
        now: Millis,
        settings: LatencyLimitSettings,
    ) -> bool {
        let mut has_changed = false;
        let inputs = inputs.into_iter().map(|input| TargetInput {
            warm_share: round_warm_share(input.warm_share),
            ..input
        });
        let mut seen = slotmap::SecondaryMap::new();
        for input in inputs {
            let (key, changed) = self.update_one(input, now, settings);
            seen.insert(key, ());
            has_changed |= changed;
        }
        for (key, state) in &mut self.states {
            if state.eligible && !seen.contains_key(key) {
                state.eligible = false;
                has_changed = true;
            }
        }
        has_changed
    }

    /// Inserts or updates one target; returns its key and whether anything except its load changed.
    fn update_one(
        &mut self,
        input: TargetInput,
        now: Millis,
        settings: LatencyLimitSettings,
    ) -> (TargetKey, bool) {
        let existing = self.keys_by_name.get(&input.target.name).copied();
        let Some(key) = existing.filter(|key| self.states.contains_key(*key)) else {
            let name = input.target.name.clone();
            let key = self.states.insert(TargetState::new(input, now, settings));
            self.keys_by_name.insert(name, key);
            return (key, true);
        };
        let state = &mut self.states[key];
        let is_same = state.eligible
            && state.warm_share == input.warm_share
            && (Arc::ptr_eq(&state.target, &input.target) || state.target == input.target);
        if state.target.incarnation != input.target.incarnation {
            let fresh = TargetState::new(input, now, settings);
            let previous = std::mem::replace(state, fresh);
            state.in_flight = previous.in_flight;
            state.kv_bytes = previous.kv_bytes;
            return (key, true);
        }
        state.eligible = true;
        state.load_reported_at = now - input.load_age_ms;
        state.load = input.load;
        state.warm_share = input.warm_share;
        state.target = input.target;
        (key, !is_same)
    }

    /// Removes ineligible targets without requests in flight, and returns their keys.
    pub fn remove_unused(&mut self) -> Vec<TargetKey> {
        let is_unused = |state: &TargetState| !state.eligible && state.in_flight == 0;
        let states = self.states.iter();
        let unused: Vec<_> = states
            .filter(|(_, it)| is_unused(it))
            .map(|(key, _)| key)
            .collect();
        for key in &unused {
            if let Some(state) = self.states.remove(*key) {
                self.keys_by_name.remove(&state.target.name);
            }
        }
        unused
    }

    /// Returns the key of the target with this name.
    pub fn key(&self, name: &TargetName) -> Option<TargetKey> {
        self.keys_by_name.get(name).copied()
    }

    /// Returns the state of a target.
    pub fn get(&self, key: TargetKey) -> Option<&TargetState> {
        self.states.get(key)
    }

    /// Returns the state of a target for modification.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetState> {
        self.states.get_mut(key)
    }

    /// Iterates over all targets, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        let keys = self.keys_by_name.values();
        keys.filter_map(|key| Some((*key, self.states.get(*key)?)))
    }

    /// Returns the public view of all targets, sorted by name.
    pub fn views(&self, entries: u32) -> Vec<TargetView> {
        self.iter().map(|(_, state)| state.view(entries)).collect()
    }
}
