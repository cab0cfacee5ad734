//! Turns plans into orders and tracks each order until its effect is announced.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mgw_contract::target::EngineReport;
use mgw_world::{Incarnation, LayerRange, Millis, PipelineModel, PlaceName, TargetName};

use crate::order::{AnnouncedEngine, Decision, DecisionCause, OrderOutcome, PlacementOrder};
use crate::plan::{PlannedEngine, flow_of, is_held_by, plan_with_former};
use crate::rebalance::{MoveCandidates, find_move};

/// Delays and timeouts of the placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacerSettings {
    /// How long the number of engines must stay the same before a leader makes its first plan.
    pub settle_ms: Millis,
    /// Longest time that the first plan is delayed by `settle_ms`, from the start of the leader's term.
    pub settle_limit_ms: Millis,
    /// How long a zone must have had a gap (layers that no engine holds) before engines that hold
    /// layers are moved into it: an engine that restarts takes its layers back sooner than a move
    /// would help.
    pub move_delay_ms: Millis,
    /// How long an empty engine without former layers waits, in a zone that no engine has left, for one
    /// to leave: when targets are replaced, the new one starts first, and the one that it stands for
    /// says that it leaves a moment later, and serves on while the new one loads.
    pub spare_delay_ms: Millis,
    /// The same in a zone where some layers have a single holder, with this engine too: there a wrong
    /// choice leaves a gap.
    pub fragile_delay_ms: Millis,
    /// How long a move must have been worth its cost before it is ordered.
    pub rebalance_delay_ms: Millis,
    /// Number of engines of a zone that move at the same time.
    pub moves_at_once: usize,
    /// How long an engine that was ordered to move stays where it is.
    pub move_rest_ms: Millis,
    /// How long the layers of a target that is gone are kept for one that starts at its address.
    pub former_ms: Millis,
    /// Number of loads in a row without effect after which a target gets no orders for a while.
    pub failed_loads: u32,
    /// How long a target whose loads failed gets no orders.
    pub failed_pause_ms: Millis,
    /// Time, in addition to the load itself, within which an order's effect must be announced. After
    /// that the target is asked for its state.
    pub announce_timeout_ms: Millis,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            settle_ms: Millis(1_300),
            settle_limit_ms: Millis(4_000),
            move_delay_ms: Millis(2_500),
            spare_delay_ms: Millis(1_200),
            fragile_delay_ms: Millis(2_500),
            rebalance_delay_ms: Millis(500),
            moves_at_once: 2,
            move_rest_ms: Millis(10_000),
            former_ms: Millis(15_000),
            failed_loads: 3,
            failed_pause_ms: Millis(30_000),
            announce_timeout_ms: Millis(3_000),
        }
    }
}

/// An order that was sent and whose effect isn't announced yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingOrder {
    /// Layers that the target was ordered to hold.
    layers: LayerRange,
    /// Time at which the target is asked for its state if the effect isn't announced by then.
    deadline: Millis,
}

/// Layers of a target that is gone.
#[derive(Debug, Clone, Copy)]
struct Departed {
    layers: LayerRange,
    at: Millis,
}

/// What an engine contributes to the plan of its zone.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PlanInput {
    engine: PlannedEngine,
    can_be_ordered: bool,
    can_move: bool,
    is_loading: bool,
}

/// State that the placer keeps about one zone.
#[derive(Debug, Clone, Default)]
struct ZoneRecord {
    /// When a gap was first seen that is still there.
    gap_since: Option<Millis>,
    /// When engines left whose place no other one took yet.
    vacancies: Vec<Millis>,
    /// When a move first was worth its cost, and still is.
    move_since: Option<Millis>,
    /// Input for which the plan was empty: while it stays the same, nothing is planned.
    idle_input: Option<Vec<PlanInput>>,
}

/// State that the placer keeps about one target.
#[derive(Debug, Clone, Default)]
struct TargetRecord {
    incarnation: Incarnation,
    address: Option<SocketAddr>,
    /// Layers that the target announced last, and its zone.
    last_layers: Option<(PlaceName, LayerRange)>,
    /// Layers that it held before it restarted, or that its predecessor at the address held.
    former_layers: Option<LayerRange>,
    /// When it was ordered to move last.
    moved_at: Option<Millis>,
    /// Number of loads in a row without effect.
    failed_loads: u32,
    /// The target gets no orders before this time.
    paused_until: Millis,
    /// When this incarnation was first announced.
    first_seen_at: Millis,
    /// Number of orders that the target has accepted, as far as known.
    accepted_orders: u64,
    pending_order: Option<PendingOrder>,
    /// Whether the target must be asked for its state before it gets another order.
    needs_report: bool,
}

/// Plans the orders of one leader, for all zones.
#[derive(Debug)]
pub struct Placer {
    settings: PlacerSettings,
    started_at: Millis,
    /// When the number of engines last changed.
    count_changed_at: Millis,
    is_settled: bool,
    engine_count: usize,
    records: BTreeMap<TargetName, TargetRecord>,
    zones: BTreeMap<PlaceName, ZoneRecord>,
    /// Layers of targets that are gone, by address.
    departed: BTreeMap<SocketAddr, Departed>,
    /// Decisions that weren't taken for the log yet.
    decisions: Vec<Decision>,
}

impl Placer {
    /// Creates the placer of a leader whose term began at `now`.
    #[must_use]
    pub const fn new(settings: PlacerSettings, now: Millis) -> Self {
        Self {
            settings,
            started_at: now,
            count_changed_at: now,
            is_settled: false,
            engine_count: 0,
            records: BTreeMap::new(),
            zones: BTreeMap::new(),
            departed: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    /// Returns the orders to send now, given the announced engines; none until the set of engines has
    /// settled.
    pub fn plan(
        &mut self,
        model: &PipelineModel,
        engines: &[AnnouncedEngine],
        now: Millis,
    ) -> Vec<PlacementOrder> {
        self.update_records(engines, now);
        if !self.update_settled(engines, now) {
            return Vec::new();
        }
        let mut places: BTreeMap<&PlaceName, Vec<&AnnouncedEngine>> = BTreeMap::new();
        for engine in engines {
            places.entry(&engine.place).or_default().push(engine);
        }
        let mut orders = Vec::new();
        for (place, members) in places {
            orders.extend(self.plan_zone(model, place, &members, now));
        }
        orders
    }

    /// Takes the decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Targets that must report their state before [`Self::plan`] sends them another order.
    #[must_use]
    pub fn list_targets_to_query(&self, now: Millis) -> Vec<TargetName> {
        let needs_query = |record: &TargetRecord| {
            record.needs_report
                || record
                    .pending_order
                    .is_some_and(|order| now >= order.deadline)
        };
        let targets = self
            .records
            .iter()
            .filter(|(_, record)| needs_query(record));
        targets.map(|(name, _)| name.clone()).collect()
    }

    /// Records a target's answer to an order.
    pub fn record_outcome(
        &mut self,
        model: &PipelineModel,
        order: &PlacementOrder,
        outcome: OrderOutcome,
        now: Millis,
    ) {
        let load_ms = load_time(model, order.layers, self.pending_orders());
        let deadline = now + load_ms + self.settings.announce_timeout_ms;
        let Some(record) = self.records.get_mut(&order.target) else {
            return;
        };
        if record.incarnation != order.incarnation {
            return;
        }
        let pending = PendingOrder {
            layers: order.layers,
            deadline,
        };
        match outcome {
            OrderOutcome::Begun => {
                record.accepted_orders = order.accepted_orders + 1;
                record.pending_order = Some(pending);
            }
            OrderOutcome::Holds => record.pending_order = Some(pending),
            OrderOutcome::Refused => record.needs_report = true,
            OrderOutcome::Unknown => {
                record.pending_order = Some(PendingOrder {
                    deadline: now + self.settings.announce_timeout_ms,
                    ..pending
                });
            }
        }
    }

    /// Records the state that a target reported. A pending order stays pending only if the target is
    /// busy or holds the ordered layers; otherwise the target can be sent another one.
    ///
    /// Returns whether the target's loads failed so often that it gets no orders for a while.
    pub fn record_report(&mut self, name: &TargetName, report: EngineReport, now: Millis) -> bool {
        let settings = self.settings;
        let announce_timeout_ms = settings.announce_timeout_ms;
        let Some(record) = self.records.get_mut(name) else {
            return false;
        };
        record.needs_report = false;
        record.accepted_orders = report.accepted_orders;
        let order = record.pending_order.take();
        let is_accepted =
            |order: &PendingOrder| report.is_busy || report.layers == Some(order.layers);
        record.pending_order = order.filter(is_accepted).map(|order| PendingOrder {
            deadline: now + announce_timeout_ms,
            ..order
        });
        if order.is_some() && record.pending_order.is_none() {
            record.failed_loads += 1;
        }
        let is_paused = record.failed_loads >= settings.failed_loads;
        if is_paused {
            record.failed_loads = 0;
            record.paused_until = now + settings.failed_pause_ms;
        }
        is_paused
    }

    /// Updates the records from the announced engines: drops absent targets, resets restarted ones and
    /// clears pending orders whose effect is announced.
    fn update_records(&mut self, engines: &[AnnouncedEngine], now: Millis) {
        self.drop_absent(engines, now);
        for engine in engines {
            let record = self.records.entry(engine.name.clone()).or_default();
            if record.incarnation != engine.incarnation {
                let own = record.last_layers.as_ref().map(|(_, layers)| *layers);
                let departed = self.departed.get(&engine.address);
                *record = TargetRecord {
                    incarnation: engine.incarnation,
                    first_seen_at: now,
                    former_layers: own.or_else(|| departed.map(|it| it.layers)),
                    // A former leader may have sent it orders.
                    needs_report: engine.layers.is_some(),
                    ..TargetRecord::default()
                };
            }
            if let Some(layers) = engine.layers {
                record.address = Some(engine.address);
                record.last_layers = Some((engine.place.clone(), layers));
            }
            let ordered = record.pending_order.map(|order| order.layers);
            if ordered.is_some() && ordered == engine.layers {
                record.pending_order = None;
                record.failed_loads = 0;
            }
        }
        if engines.len() != self.engine_count {
            self.engine_count = engines.len();
            self.count_changed_at = now;
        }
    }

    /// Drops the records of absent targets; what they held is kept for a while.
    fn drop_absent(&mut self, engines: &[AnnouncedEngine], now: Millis) {
        let names: BTreeSet<&TargetName> = engines.iter().map(|engine| &engine.name).collect();
        let absent = self
            .records
            .extract_if(.., |name, _| !names.contains(name))
            .filter_map(|(_, record)| Some((record.address?, record.last_layers?)));
        for (address, (place, layers)) in absent {
            let zone = self.zones.entry(place).or_default();
            zone.vacancies.push(now);
            let departed = Departed { layers, at: now };
            self.departed.insert(address, departed);
        }
        for zone in self.zones.values_mut() {
            zone.vacancies
                .retain(|at| now - *at < self.settings.former_ms);
        }
        let former_ms = self.settings.former_ms;
        self.departed.retain(|_, it| now - it.at < former_ms);
    }

    /// Records whether the set of engines has settled; once it has, that stays so for this leader.
    fn update_settled(&mut self, engines: &[AnnouncedEngine], now: Millis) -> bool {
        let unchanged_ms = now - self.count_changed_at;
        let waited_ms = now - self.started_at;
        let is_stable = unchanged_ms >= self.settings.settle_ms;
        let is_over_limit = waited_ms >= self.settings.settle_limit_ms;
        self.is_settled |= !engines.is_empty() && (is_stable || is_over_limit);
        self.is_settled
    }

    /// Plans the orders to the engines of one zone.
    fn plan_zone(
        &mut self,
        model: &PipelineModel,
        place: &PlaceName,
        members: &[&AnnouncedEngine],
        now: Millis,
    ) -> Vec<PlacementOrder> {
        let inputs = self.list_inputs(members, now);
        let mut zone = self.zones.remove(place).unwrap_or_default();
        if zone.idle_input.as_ref() == Some(&inputs) {
            self.zones.insert(place.clone(), zone);
            return Vec::new();
        }
        zone.idle_input = None;
        let engines: Vec<PlannedEngine> = inputs.iter().map(|it| it.engine.clone()).collect();
        let has_gap = !is_held_by(model, &engines, 1);
        let gap_since = *zone.gap_since.get_or_insert(now);
        if !has_gap {
            zone.gap_since = None;
        }
        let may_move = has_gap && now - gap_since >= self.settings.move_delay_ms;
        let plan = plan_with_former(model, &engines, &self.former_layers(&engines));
        let is_safe = has_gap || is_held_by(model, &apply(&engines, &plan), 2);
        let mut chosen: BTreeMap<TargetName, LayerRange> = BTreeMap::new();
        for input in inputs.iter().filter(|it| it.can_be_ordered) {
            let name = &input.engine.name;
            let Some(layers) = plan.get(name) else {
                continue;
            };
            let may_order = if input.engine.layers.is_some() {
                may_move
            } else {
                let is_expected = has_gap || (is_safe && !zone.vacancies.is_empty());
                is_expected || !self.is_waiting_spare(name, is_safe, now)
            };
            if may_order {
                if input.engine.layers.is_none() && !zone.vacancies.is_empty() {
                    zone.vacancies.remove(0);
                }
                chosen.insert(name.clone(), *layers);
            }
        }
        let mut cause = if has_gap {
            DecisionCause::Gap
        } else {
            DecisionCause::Empty
        };
        let is_assigning = inputs
            .iter()
            .any(|it| it.engine.layers.is_none() && plan.contains_key(&it.engine.name));
        if !is_assigning && !has_gap {
            chosen = self.choose_move(model, &mut zone, &inputs, now);
            cause = DecisionCause::Rebalance;
            if zone.move_since.is_none() {
                zone.idle_input = Some(inputs);
            }
        }
        self.zones.insert(place.clone(), zone);
        self.record_decisions(model, place, &engines, &chosen, cause);
        self.write_orders(members, &chosen)
    }

    /// What the members of a zone contribute to its plan.
    fn list_inputs(&self, members: &[&AnnouncedEngine], now: Millis) -> Vec<PlanInput> {
        let settings = &self.settings;
        let inputs = members.iter().filter_map(|engine| {
            let record = self.records.get(&engine.name)?;
            let layers = self.expected_layers(engine);
            let is_paused = now < record.paused_until;
            if is_paused && layers.is_none() {
                return None;
            }
            let can_be_ordered =
                record.pending_order.is_none() && !record.needs_report && !is_paused;
            let has_rested = record
                .moved_at
                .is_none_or(|at| now - at >= settings.move_rest_ms);
            Some(PlanInput {
                engine: PlannedEngine {
                    name: engine.name.clone(),
                    accelerator: engine.accelerator.clone(),
                    layers,
                },
                can_be_ordered,
                can_move: can_be_ordered && has_rested,
                is_loading: record.pending_order.is_some(),
            })
        });
        inputs.collect()
    }

    /// Layers that empty engines held before they restarted.
    fn former_layers(&self, engines: &[PlannedEngine]) -> BTreeMap<TargetName, LayerRange> {
        let former = engines.iter().filter_map(|engine| {
            let record = self.records.get(&engine.name)?;
            Some((engine.name.clone(), record.former_layers?))
        });
        former.collect()
    }

    /// Whether an empty engine may stand for another one that is about to leave.
    fn is_waiting_spare(&self, name: &TargetName, is_safe: bool, now: Millis) -> bool {
        let delay_ms = if is_safe {
            self.settings.spare_delay_ms
        } else {
            self.settings.fragile_delay_ms
        };
        self.records.get(name).is_some_and(|record| {
            record.former_layers.is_none() && now - record.first_seen_at < delay_ms
        })
    }

    /// The move to order now, once it has been worth its cost for long enough.
    fn choose_move(
        &mut self,
        model: &PipelineModel,
        zone: &mut ZoneRecord,
        inputs: &[PlanInput],
        now: Millis,
    ) -> BTreeMap<TargetName, LayerRange> {
        let names = |is_meant: fn(&PlanInput) -> bool| {
            let meant = inputs.iter().filter(|it| is_meant(it));
            meant.map(|it| it.engine.name.clone()).collect()
        };
        let candidates = MoveCandidates {
            movable: names(|it| it.can_move),
            loading: names(|it| it.is_loading),
        };
        let engines: Vec<PlannedEngine> = inputs.iter().map(|it| it.engine.clone()).collect();
        let Some(found) = find_move(model, &engines, &candidates) else {
            zone.move_since = None;
            return BTreeMap::new();
        };
        let since = *zone.move_since.get_or_insert(now);
        let moving = inputs.iter().filter(|it| it.is_loading && !it.can_move);
        let moving = moving.filter(|it| {
            let record = self.records.get(&it.engine.name);
            record.is_some_and(|it| it.moved_at.is_some())
        });
        let has_waited = now - since >= self.settings.rebalance_delay_ms;
        if !has_waited || moving.count() >= self.settings.moves_at_once {
            return BTreeMap::new();
        }
        if let Some(record) = self.records.get_mut(&found.target) {
            record.moved_at = Some(now);
        }
        BTreeMap::from([(found.target, found.layers)])
    }

    /// Keeps the decisions of a zone for the log.
    fn record_decisions(
        &mut self,
        model: &PipelineModel,
        place: &PlaceName,
        engines: &[PlannedEngine],
        chosen: &BTreeMap<TargetName, LayerRange>,
        cause: DecisionCause,
    ) {
        if chosen.is_empty() {
            return;
        }
        let before = flow_of(model, engines);
        let after = flow_of(model, &apply(engines, chosen));
        for (target, layers) in chosen {
            let decision = Decision {
                place: place.clone(),
                target: target.clone(),
                layers: *layers,
                cause,
                flow_before_tokens: before.tokens,
                flow_after_tokens: after.tokens,
                narrowest: before.narrowest,
            };
            self.decisions.push(decision);
        }
    }

    /// The orders for the chosen layers.
    fn write_orders(
        &self,
        members: &[&AnnouncedEngine],
        chosen: &BTreeMap<TargetName, LayerRange>,
    ) -> Vec<PlacementOrder> {
        let orders = members.iter().filter_map(|engine| {
            Some(PlacementOrder {
                target: engine.name.clone(),
                incarnation: engine.incarnation,
                address: engine.address,
                layers: *chosen.get(&engine.name)?,
                accepted_orders: self.records.get(&engine.name)?.accepted_orders,
            })
        });
        orders.collect()
    }

    /// Layers that an engine holds, or will hold once its pending order is carried out.
    fn expected_layers(&self, engine: &AnnouncedEngine) -> Option<LayerRange> {
        let order = self.records.get(&engine.name)?.pending_order;
        order.map(|order| order.layers).or(engine.layers)
    }

    /// Number of targets with a pending order.
    fn pending_orders(&self) -> usize {
        let records = self.records.values();
        records
            .filter(|record| record.pending_order.is_some())
            .count()
    }
}

/// The engines with the layers of a plan.
fn apply(engines: &[PlannedEngine], plan: &BTreeMap<TargetName, LayerRange>) -> Vec<PlannedEngine> {
    let applied = engines.iter().map(|engine| PlannedEngine {
        layers: plan.get(&engine.name).copied().or(engine.layers),
        ..engine.clone()
    });
    applied.collect()
}

/// Time to load `layers` while `running` loads run: beyond the number of loads that the store serves
/// at full speed, each load takes longer in proportion.
fn load_time(model: &PipelineModel, layers: LayerRange, running: usize) -> Millis {
    let at_once = u64::from(model.loads_at_once.max(1));
    let running = u64::try_from(running).unwrap_or(u64::MAX).max(1);
    let slowdown = running.div_ceil(at_once);
    let share_ms = model.load_ms.0 * u64::from(layers.count()) / u64::from(model.layers.max(1));
    Millis(share_ms).times(slowdown)
}
