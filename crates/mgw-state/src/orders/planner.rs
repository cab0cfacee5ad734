//! [`OrderPlanner`], which compares the states that engines report with the desired ones and plans
//! orders.

use std::collections::{BTreeMap, BTreeSet};

use mgw_contract::engine::{EngineOrder, EngineState, OrderReply};
use mgw_world::{FenceNumber, LayerRange, Millis, ModelName, ModelVersion, TargetName};

use super::coverage::{ChainSegment, find_cheapest_chain, has_complete_chain, min_layer_copies};
use super::desired_state::{DesiredEngineState, list_desired_states};
use crate::Inventory;

/// Durations that the planner works with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    /// Duration of a leader's lease.
    pub lease_ms: Millis,
    /// Upper bound of the drift between two clocks over one lease plus the time of one send.
    pub clock_error_ms: Millis,
    /// Age of an observation from which the engine's state is read again.
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

/// An order and the deadline for sending it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The order to send.
    pub order: EngineOrder,
    /// End of the leader's lease; the order must not be sent at or after this time.
    pub send_before: Millis,
}

/// The orders to send and the states to read now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderPlan {
    /// Orders to send.
    pub orders: Vec<PlannedOrder>,
    /// Engines whose state must be read.
    pub reads: Vec<TargetName>,
}

/// The state that an engine reported, and when the read was sent.
#[derive(Debug, Clone)]
struct Observation {
    state: EngineState,
    requested_at: Millis,
}

/// Plans the orders of one leader in one term; a new term needs a new planner.
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
    observations: BTreeMap<TargetName, Observation>,
    /// Time of the last order to each engine.
    sent_at: BTreeMap<TargetName, Millis>,
    /// Engines found loading without an order of this term.
    inherited_loads: BTreeSet<TargetName>,
    /// Estimated time at which the weight store has sent everything ordered so far.
    weight_store_free_at: Millis,
    is_superseded: bool,
}

impl OrderPlanner {
    /// Creates a planner for a leader whose term began at `now`; the term is its fencing number.
    #[must_use]
    pub const fn new(fence: FenceNumber, now: Millis, settings: OrderSettings) -> Self {
        Self {
            settings,
            fence,
            sequence: 0,
            started_at: now,
            observations: BTreeMap::new(),
            sent_at: BTreeMap::new(),
            inherited_loads: BTreeSet::new(),
            weight_store_free_at: Millis::ZERO,
            is_superseded: false,
        }
    }

    /// The time at which the former leader's lease has certainly expired. Engines that don't check
    /// fencing numbers get no order before it.
    #[must_use]
    pub fn old_lease_expires_at(&self) -> Millis {
        self.started_at + self.settings.lease_ms + self.settings.clock_error_ms
    }

    /// Whether an engine reported the fencing number of a newer leader; no order is planned from
    /// then on.
    #[must_use]
    pub const fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Records the state that an engine reported, unless a later read is already recorded;
    /// `requested_at` is when the read was sent.
    pub fn record_state(&mut self, state: EngineState, requested_at: Millis) {
        self.check_newer_fence(state.fence);
        let target = state.target.clone();
        let is_newer = self
            .observations
            .get(&target)
            .is_none_or(|recorded| recorded.requested_at <= requested_at);
        if is_newer {
            self.observations.insert(
                target,
                Observation {
                    state,
                    requested_at,
                },
            );
        }
    }

    /// Forgets the observed state of an engine that is gone; it counts as having nothing loaded
    /// until it is read again.
    pub fn forget_engine(&mut self, target: &TargetName) {
        self.observations.remove(target);
    }

    /// Records the reply to an order.
    pub fn record_reply(&mut self, reply: &OrderReply) {
        if let OrderReply::Fenced { newest } = reply {
            self.check_newer_fence(Some(*newest));
        }
    }

    /// Plans the orders to send and the states to read now, for a leader whose lease expires at
    /// `lease_until`. No order is planned once the lease has expired or a newer leader was seen.
    pub fn plan(&mut self, inventory: &Inventory, now: Millis, lease_until: Millis) -> OrderPlan {
        let desired = list_desired_states(inventory);
        let reads = self.list_due_reads(&desired, now);
        let mut orders = Vec::new();
        if self.is_superseded || now >= lease_until {
            return OrderPlan { orders, reads };
        }
        self.account_inherited_loads(&desired, inventory, now);
        for index in self.rank(&desired, inventory) {
            let engine = &desired[index];
            if !self.needs_order(engine) || self.would_break_last_chain(engine, &desired, inventory)
            {
                continue;
            }
            let bytes = self.missing_bytes(engine);
            if bytes > 0 && self.weight_store_free_at > now {
                continue;
            }
            self.reserve_store_time(bytes, inventory, now);
            self.sequence += 1;
            self.sent_at.insert(engine.target.clone(), now);
            orders.push(PlannedOrder {
                order: engine.to_order(self.fence, self.sequence),
                send_before: lease_until,
            });
        }
        OrderPlan { orders, reads }
    }

    fn check_newer_fence(&mut self, seen: Option<FenceNumber>) {
        if seen.is_some_and(|seen| seen > self.fence) {
            self.is_superseded = true;
        }
    }

    fn list_due_reads(&self, desired: &[DesiredEngineState], now: Millis) -> Vec<TargetName> {
        let is_due = |engine: &&DesiredEngineState| match self.observations.get(&engine.target) {
            None => true,
            Some(observation) => {
                let is_stale = observation.requested_at + self.settings.read_interval_ms <= now;
                is_stale
                    || (now >= self.old_lease_expires_at() && !self.is_usable(engine, observation))
            }
        };
        let due = desired.iter().filter(is_due);
        due.map(|engine| engine.target.clone()).collect()
    }

    /// Whether an observation is recent enough to base an order on: requested after the last order
    /// to the engine, and not before the former leader's lease has expired if the engine doesn't
    /// check fencing numbers.
    fn is_usable(&self, engine: &DesiredEngineState, observation: &Observation) -> bool {
        let is_after_old_lease =
            engine.checks_fence || observation.requested_at >= self.old_lease_expires_at();
        let sent_at = self.sent_at.get(&engine.target);
        is_after_old_lease && sent_at.is_none_or(|sent_at| observation.requested_at > *sent_at)
    }

    /// Whether the engine must be sent an order: a usable observation shows that it is neither in
    /// the desired state nor loading.
    fn needs_order(&self, engine: &DesiredEngineState) -> bool {
        let Some(observation) = self.observations.get(&engine.target) else {
            return false;
        };
        let is_idle = !observation.state.loading;
        is_idle && self.is_usable(engine, observation) && !engine.is_met_by(&observation.state)
    }

    fn missing_bytes(&self, engine: &DesiredEngineState) -> u64 {
        let observation = self.observations.get(&engine.target);
        observation.map_or(engine.weight_bytes, |observation| {
            engine.missing_bytes(&observation.state)
        })
    }

    /// Reserves time of the weight store for loads that were started before this term, each once.
    fn account_inherited_loads(
        &mut self,
        desired: &[DesiredEngineState],
        inventory: &Inventory,
        now: Millis,
    ) {
        for engine in desired {
            let observation = self.observations.get(&engine.target);
            let is_loading = observation.is_some_and(|observation| observation.state.loading);
            let is_ordered_by_self = self.sent_at.contains_key(&engine.target);
            if is_loading
                && !is_ordered_by_self
                && self.inherited_loads.insert(engine.target.clone())
            {
                self.reserve_store_time(engine.weight_bytes, inventory, now);
            }
        }
    }

    /// Reserves the time that the weight store needs to send the bytes.
    fn reserve_store_time(&mut self, bytes: u64, inventory: &Inventory, now: Millis) {
        let rate = inventory.rules.weight_store_bytes_per_s.max(1);
        let send_time = Millis(bytes.saturating_mul(1_000).div_ceil(rate));
        self.weight_store_free_at = self.weight_store_free_at.max(now) + send_time;
    }

    /// Ranks all engines: first those of the complete chains that need the fewest bytes to load,
    /// then the others by the smallest number of copies of their layers. Returns their indexes.
    fn rank(&self, desired: &[DesiredEngineState], inventory: &Inventory) -> Vec<usize> {
        let mut chains = Vec::new();
        let mut remaining = Vec::new();
        for (model, version) in list_versions(desired) {
            let layers = inventory.model(&model).map_or(0, |model| model.layers);
            let has_this_version = |index: &usize| has_version(&desired[*index], &model, &version);
            let members: Vec<usize> = (0..desired.len()).filter(has_this_version).collect();
            let segments: Vec<ChainSegment> = members
                .iter()
                .map(|index| self.to_segment(&desired[*index]))
                .collect();
            let chain = find_cheapest_chain(&segments, layers).unwrap_or_default();
            let bytes: u64 = chain.iter().map(|position| segments[*position].bytes).sum();
            chains.push((
                bytes,
                chain
                    .iter()
                    .map(|position| members[*position])
                    .collect::<Vec<_>>(),
            ));
            let covered: Vec<LayerRange> = (0..segments.len())
                .filter(|position| segments[*position].bytes == 0 || chain.contains(position))
                .map(|position| segments[position].layers)
                .collect();
            let outside_chain = (0..segments.len()).filter(|position| !chain.contains(position));
            remaining.extend(outside_chain.map(|position| {
                let copies = min_layer_copies(&covered, segments[position].layers);
                (copies, segments[position].bytes, members[position])
            }));
        }
        chains.sort();
        remaining.sort_unstable();
        let in_chains = chains.into_iter().flat_map(|(_, chain)| chain);
        in_chains
            .chain(remaining.into_iter().map(|(_, _, index)| index))
            .collect()
    }

    fn to_segment(&self, engine: &DesiredEngineState) -> ChainSegment {
        ChainSegment {
            layers: engine.layers,
            bytes: self.missing_bytes(engine),
        }
    }

    /// Whether reloading the engine now would break the only complete chain of a model, while
    /// another engine can be changed first.
    fn would_break_last_chain(
        &self,
        engine: &DesiredEngineState,
        desired: &[DesiredEngineState],
        inventory: &Inventory,
    ) -> bool {
        let Some(observation) = self.observations.get(&engine.target) else {
            return false;
        };
        let current = &observation.state;
        let Some(model) = inventory.model(&current.model) else {
            return false;
        };
        if engine.missing_bytes(current) == 0 {
            return false;
        }
        let has_chain_without = |version: &ModelVersion, excluded: Option<&TargetName>| {
            let states = self.ready_states(&current.model, version);
            let states = states.filter(|state| Some(&state.target) != excluded);
            has_complete_chain(states.map(|state| state.layers), model.layers)
        };
        let is_needed = has_chain_without(&current.version, None)
            && !has_chain_without(&current.version, Some(&engine.target));
        let is_replaced =
            current.version != engine.version && has_chain_without(&engine.version, None);
        is_needed && !is_replaced && self.can_another_go_first(engine, desired, inventory)
    }

    /// Whether another engine that isn't in its desired state is already loading, or can be
    /// reloaded without breaking the only complete chain of its model.
    fn can_another_go_first(
        &self,
        engine: &DesiredEngineState,
        desired: &[DesiredEngineState],
        inventory: &Inventory,
    ) -> bool {
        let others = desired.iter().filter(|other| other.target != engine.target);
        others.into_iter().any(|other| {
            let Some(observation) = self.observations.get(&other.target) else {
                return false;
            };
            if other.is_met_by(&observation.state) {
                return false;
            }
            observation.state.loading || !self.is_in_only_chain(&observation.state, inventory)
        })
    }

    /// Whether the model version of this engine has a complete chain, but none without this engine.
    fn is_in_only_chain(&self, state: &EngineState, inventory: &Inventory) -> bool {
        let layers = inventory
            .model(&state.model)
            .map_or(0, |model| model.layers);
        let all = self.ready_states(&state.model, &state.version);
        let others = self.ready_states(&state.model, &state.version);
        let others = others.filter(|other| other.target != state.target);
        has_complete_chain(all.map(|ready| ready.layers), layers)
            && !has_complete_chain(others.map(|ready| ready.layers), layers)
    }

    /// States of the engines that have this model version loaded, as observed after the last order
    /// to them.
    fn ready_states(
        &self,
        model: &ModelName,
        version: &ModelVersion,
    ) -> impl Iterator<Item = &EngineState> {
        let up_to_date = self.observations.iter().filter(|(target, observation)| {
            let sent_at = self.sent_at.get(*target);
            sent_at.is_none_or(|sent_at| observation.requested_at > *sent_at)
        });
        let states = up_to_date.map(|(_, observation)| &observation.state);
        states.filter(move |state| {
            !state.loading && state.model == *model && state.version == *version
        })
    }
}

fn has_version(engine: &DesiredEngineState, model: &ModelName, version: &ModelVersion) -> bool {
    engine.model == *model && engine.version == *version
}

fn list_versions(desired: &[DesiredEngineState]) -> BTreeSet<(ModelName, ModelVersion)> {
    let versions = desired.iter();
    versions
        .map(|engine| (engine.model.clone(), engine.version.clone()))
        .collect()
}
