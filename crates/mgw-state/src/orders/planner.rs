//! Compares what engines say they hold with what they shall hold, and gives orders.

use std::collections::{BTreeMap, BTreeSet};

use mgw_contract::engine::{EngineOrder, EngineState, OrderReply};
use mgw_world::{FenceNumber, LayerRange, Millis, ModelName, ModelVersion, TargetName};

use super::coverage::{Piece, count_weakest, find_cheapest_chain, has_chain};
use super::desired_state::{DesiredEngineState, list_desired_states};
use crate::Inventory;

/// Times of the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    /// Length of a leader's lease.
    pub lease_ms: Millis,
    /// Most by which two clocks can differ over one lease, and the time of one send.
    pub clock_error_ms: Millis,
    /// Age from which an engine's state is read again.
    pub read_interval_ms: Millis,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            lease_ms: Millis(2_000),
            clock_error_ms: Millis(200),
            read_interval_ms: Millis(1_000),
        }
    }
}

/// An order and the time up to which it may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The order.
    pub order: EngineOrder,
    /// The end of the leader's lease; past it the order must not go out.
    pub send_before: Millis,
}

/// What to do now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderPlan {
    /// Orders to send.
    pub orders: Vec<PlannedOrder>,
    /// Engines whose state is to be read.
    pub reads: Vec<TargetName>,
}

/// What an engine said, and when it was asked.
#[derive(Debug, Clone)]
struct Reading {
    state: EngineState,
    asked_at: Millis,
}

/// Plans the orders of one leader in one term; a new term takes a new planner.
///
/// ```
/// use mgw_state::Inventory;
/// use mgw_state::orders::{OrderPlanner, OrderSettings};
/// use mgw_world::{FenceNumber, Millis};
/// let mut planner = OrderPlanner::new(FenceNumber(3), Millis(100), OrderSettings::default());
/// assert_eq!(planner.old_lease_expires_at(), Millis(2_300));
/// let plan = planner.plan(&Inventory::default(), Millis(100), Millis(2_100));
/// assert!(plan.orders.is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct OrderPlanner {
    settings: OrderSettings,
    fence: FenceNumber,
    sequence: u64,
    started_at: Millis,
    readings: BTreeMap<TargetName, Reading>,
    sent_at: BTreeMap<TargetName, Millis>,
    inherited: BTreeSet<TargetName>,
    store_free_at: Millis,
    is_superseded: bool,
}

impl OrderPlanner {
    /// A planner for a leader whose term began at `now`; the term is its fencing number.
    #[must_use]
    pub const fn new(fence: FenceNumber, now: Millis, settings: OrderSettings) -> Self {
        Self {
            settings,
            fence,
            sequence: 0,
            started_at: now,
            readings: BTreeMap::new(),
            sent_at: BTreeMap::new(),
            inherited: BTreeSet::new(),
            store_free_at: Millis::ZERO,
            is_superseded: false,
        }
    }

    /// End of the wait for the old leader's lease; engines that ignore fencing numbers get no
    /// order before it.
    #[must_use]
    pub fn old_lease_expires_at(&self) -> Millis {
        self.started_at + self.settings.lease_ms + self.settings.clock_error_ms
    }

    /// Whether an engine has seen a newer leader; no order is planned from then on.
    #[must_use]
    pub const fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Takes what an engine said; `asked_at` is when the question was sent.
    pub fn record_state(&mut self, state: EngineState, asked_at: Millis) {
        self.note_fence(state.fence);
        let target = state.target.clone();
        let is_newer = self
            .readings
            .get(&target)
            .is_none_or(|held| held.asked_at <= asked_at);
        if is_newer {
            self.readings.insert(target, Reading { state, asked_at });
        }
    }

    /// Forgets an engine that is gone; it counts as holding nothing until it is read again.
    pub fn forget_engine(&mut self, target: &TargetName) {
        self.readings.remove(target);
    }

    /// Takes the answer to an order.
    pub fn record_reply(&mut self, reply: &OrderReply) {
        if let OrderReply::Fenced { newest } = reply {
            self.note_fence(Some(*newest));
        }
    }

    /// Gives the orders to send and the states to read now, for a leader whose lease runs until
    /// `lease_until`.
    pub fn plan(&mut self, inventory: &Inventory, now: Millis, lease_until: Millis) -> OrderPlan {
        let wanted = list_desired_states(inventory);
        let reads = self.list_reads(&wanted, now);
        let mut orders = Vec::new();
        if self.is_superseded || now >= lease_until {
            return OrderPlan { orders, reads };
        }
        self.note_inherited(&wanted, inventory, now);
        for index in self.rank(&wanted, inventory) {
            let engine = &wanted[index];
            if !self.may_order(engine) || self.breaks_last_chain(engine, &wanted, inventory) {
                continue;
            }
            let bytes = self.missing_bytes(engine);
            if bytes > 0 && self.store_free_at > now {
                continue;
            }
            self.occupy_store(bytes, inventory, now);
            self.sequence += 1;
            self.sent_at.insert(engine.target.clone(), now);
            orders.push(PlannedOrder {
                order: engine.to_order(self.fence, self.sequence),
                send_before: lease_until,
            });
        }
        OrderPlan { orders, reads }
    }

    fn note_fence(&mut self, seen: Option<FenceNumber>) {
        if seen.is_some_and(|seen| seen > self.fence) {
            self.is_superseded = true;
        }
    }

    fn list_reads(&self, wanted: &[DesiredEngineState], now: Millis) -> Vec<TargetName> {
        let is_due = |engine: &&DesiredEngineState| match self.readings.get(&engine.target) {
            None => true,
            Some(reading) => {
                let is_old = reading.asked_at + self.settings.read_interval_ms <= now;
                is_old || (now >= self.old_lease_expires_at() && !self.is_usable(engine, reading))
            }
        };
        let due = wanted.iter().filter(is_due);
        due.map(|engine| engine.target.clone()).collect()
    }

    /// Whether a reading is new enough to base an order on: made after the old lease's end where
    /// the engine ignores fencing numbers, and after the last order.
    fn is_usable(&self, engine: &DesiredEngineState, reading: &Reading) -> bool {
        let is_past_quiet = engine.checks_fence || reading.asked_at >= self.old_lease_expires_at();
        let sent_at = self.sent_at.get(&engine.target);
        is_past_quiet && sent_at.is_none_or(|sent_at| reading.asked_at > *sent_at)
    }

    fn may_order(&self, engine: &DesiredEngineState) -> bool {
        let Some(reading) = self.readings.get(&engine.target) else {
            return false;
        };
        let is_idle = !reading.state.loading;
        is_idle && self.is_usable(engine, reading) && !engine.is_met_by(&reading.state)
    }

    fn missing_bytes(&self, engine: &DesiredEngineState) -> u64 {
        let reading = self.readings.get(&engine.target);
        reading.map_or(engine.weight_bytes, |reading| {
            engine.missing_bytes(&reading.state)
        })
    }

    /// Loads that run since before this term also use the weight store.
    fn note_inherited(
        &mut self,
        wanted: &[DesiredEngineState],
        inventory: &Inventory,
        now: Millis,
    ) {
        for engine in wanted {
            let reading = self.readings.get(&engine.target);
            let is_loading = reading.is_some_and(|reading| reading.state.loading);
            let is_own = self.sent_at.contains_key(&engine.target);
            if is_loading && !is_own && self.inherited.insert(engine.target.clone()) {
                self.occupy_store(engine.weight_bytes, inventory, now);
            }
        }
    }

    fn occupy_store(&mut self, bytes: u64, inventory: &Inventory, now: Millis) {
        let rate = inventory.rules.weight_store_bytes_per_s.max(1);
        let span = Millis(bytes.saturating_mul(1_000).div_ceil(rate));
        self.store_free_at = self.store_free_at.max(now) + span;
    }

    /// Engines that don't hold what they shall, those first that complete a chain with the fewest
    /// bytes, then those whose layers are held the fewest times.
    fn rank(&self, wanted: &[DesiredEngineState], inventory: &Inventory) -> Vec<usize> {
        let mut chains = Vec::new();
        let mut rest = Vec::new();
        for (model, version) in list_versions(wanted) {
            let layers = inventory.model(&model).map_or(0, |model| model.layers);
            let of_version = |index: &usize| is_of(&wanted[*index], &model, &version);
            let members: Vec<usize> = (0..wanted.len()).filter(of_version).collect();
            let pieces: Vec<Piece> = members
                .iter()
                .map(|at| self.to_piece(&wanted[*at]))
                .collect();
            let chain = find_cheapest_chain(&pieces, layers).unwrap_or_default();
            let bytes: u64 = chain.iter().map(|at| pieces[*at].bytes).sum();
            chains.push((
                bytes,
                chain.iter().map(|at| members[*at]).collect::<Vec<_>>(),
            ));
            let held: Vec<LayerRange> = (0..pieces.len())
                .filter(|at| pieces[*at].bytes == 0 || chain.contains(at))
                .map(|at| pieces[at].layers)
                .collect();
            let others = (0..pieces.len()).filter(|at| !chain.contains(at));
            rest.extend(others.map(|at| {
                let copies = count_weakest(&held, pieces[at].layers);
                (copies, pieces[at].bytes, members[at])
            }));
        }
        chains.sort();
        rest.sort_unstable();
        let first = chains.into_iter().flat_map(|(_, chain)| chain);
        first
            .chain(rest.into_iter().map(|(_, _, index)| index))
            .collect()
    }

    fn to_piece(&self, engine: &DesiredEngineState) -> Piece {
        Piece {
            layers: engine.layers,
            bytes: self.missing_bytes(engine),
        }
    }

    /// Whether a reload would take down the only complete chain that a model has, while another
    /// engine can go first.
    fn breaks_last_chain(
        &self,
        engine: &DesiredEngineState,
        wanted: &[DesiredEngineState],
        inventory: &Inventory,
    ) -> bool {
        let Some(reading) = self.readings.get(&engine.target) else {
            return false;
        };
        let held = &reading.state;
        let Some(model) = inventory.model(&held.model) else {
            return false;
        };
        if engine.missing_bytes(held) == 0 {
            return false;
        }
        let chain_without = |version: &ModelVersion, left_out: Option<&TargetName>| {
            let states = self.ready_states(&held.model, version);
            let states = states.filter(|state| Some(&state.target) != left_out);
            has_chain(states.map(|state| state.layers), model.layers)
        };
        let is_needed = chain_without(&held.version, None)
            && !chain_without(&held.version, Some(&engine.target));
        let is_replaced = held.version != engine.version && chain_without(&engine.version, None);
        is_needed && !is_replaced && self.can_another_go_first(engine, wanted, inventory)
    }

    /// Whether any other engine isn't yet as wanted and can be changed without breaking the chain.
    fn can_another_go_first(
        &self,
        engine: &DesiredEngineState,
        wanted: &[DesiredEngineState],
        inventory: &Inventory,
    ) -> bool {
        let others = wanted.iter().filter(|other| other.target != engine.target);
        others.into_iter().any(|other| {
            let Some(reading) = self.readings.get(&other.target) else {
                return false;
            };
            if other.is_met_by(&reading.state) {
                return false;
            }
            reading.state.loading || !self.is_in_only_chain(&reading.state, inventory)
        })
    }

    fn is_in_only_chain(&self, held: &EngineState, inventory: &Inventory) -> bool {
        let layers = inventory.model(&held.model).map_or(0, |model| model.layers);
        let all = self.ready_states(&held.model, &held.version);
        let others = self.ready_states(&held.model, &held.version);
        let others = others.filter(|state| state.target != held.target);
        has_chain(all.map(|state| state.layers), layers)
            && !has_chain(others.map(|state| state.layers), layers)
    }

    fn ready_states(
        &self,
        model: &ModelName,
        version: &ModelVersion,
    ) -> impl Iterator<Item = &EngineState> {
        let undisturbed = self.readings.iter().filter(|(target, reading)| {
            let sent_at = self.sent_at.get(*target);
            sent_at.is_none_or(|sent_at| reading.asked_at > *sent_at)
        });
        let states = undisturbed.map(|(_, reading)| &reading.state);
        states.filter(move |state| {
            !state.loading && state.model == *model && state.version == *version
        })
    }
}

fn is_of(engine: &DesiredEngineState, model: &ModelName, version: &ModelVersion) -> bool {
    engine.model == *model && engine.version == *version
}

fn list_versions(wanted: &[DesiredEngineState]) -> BTreeSet<(ModelName, ModelVersion)> {
    let versions = wanted.iter();
    versions
        .map(|engine| (engine.model.clone(), engine.version.clone()))
        .collect()
}
