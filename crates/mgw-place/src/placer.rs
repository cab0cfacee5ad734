//! Turns plans into orders and tracks each order until its effect is announced.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mgw_contract::target::EngineReport;
use mgw_world::{
    AcceleratorKind, Incarnation, LayerRange, Millis, PipelineModel, PlaceName, TargetName,
};

use crate::plan::{PlannedEngine, plan_layers};

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
    /// How long an empty engine of a zone without a gap waits for layers: when targets are replaced,
    /// the new one starts first, and the layers that it is meant to take become free a moment later.
    pub spare_delay_ms: Millis,
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
            spare_delay_ms: Millis(2_500),
            announce_timeout_ms: Millis(3_000),
        }
    }
}

/// The state that an engine announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncedEngine {
    /// Name of the target.
    pub name: TargetName,
    /// Start of the target's process; differs after each restart.
    pub incarnation: Incarnation,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub place: PlaceName,
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
    /// Layers that the engine holds; `None` if it holds none.
    pub layers: Option<LayerRange>,
}

/// An order to a target to hold a range of layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Name of the target that receives the order.
    pub target: TargetName,
    /// Start of the target's process for which the order was planned.
    pub incarnation: Incarnation,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    /// Layers that the target holds once the order is carried out.
    pub layers: LayerRange,
    /// Precondition: number of orders that the target has accepted so far. A target with another
    /// number refuses the order.
    pub accepted_orders: u64,
}

/// A target's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target started to carry the order out.
    Begun,
    /// The target already holds these layers.
    Holds,
    /// The target refused: it has accepted another number of orders than stated, or can't carry the
    /// order out in its state.
    Refused,
    /// No answer arrived: the target may still carry the order out at any time.
    Unknown,
}

/// An order that was sent and whose effect isn't announced yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingOrder {
    /// Layers that the target was ordered to hold.
    layers: LayerRange,
    /// Time at which the target is asked for its state if the effect isn't announced by then.
    deadline: Millis,
}

/// State that the placer keeps about one target.
#[derive(Debug, Clone, Default)]
struct TargetRecord {
    incarnation: Incarnation,
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
    /// Zones with a gap, and when the gap was first seen.
    gap_since: BTreeMap<PlaceName, Millis>,
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
            gap_since: BTreeMap::new(),
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
    pub fn record_report(&mut self, name: &TargetName, report: EngineReport, now: Millis) {
        let announce_timeout_ms = self.settings.announce_timeout_ms;
        let Some(record) = self.records.get_mut(name) else {
            return;
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
    }

    /// Updates the records from the announced engines: drops absent targets, resets restarted ones and
    /// clears pending orders whose effect is announced.
    fn update_records(&mut self, engines: &[AnnouncedEngine], now: Millis) {
        let names: std::collections::BTreeSet<&TargetName> =
            engines.iter().map(|engine| &engine.name).collect();
        self.records.retain(|name, _| names.contains(name));
        for engine in engines {
            let record = self.records.entry(engine.name.clone()).or_default();
            if record.incarnation != engine.incarnation {
                *record = TargetRecord {
                    incarnation: engine.incarnation,
                    first_seen_at: now,
                    // A former leader may have sent it orders.
                    needs_report: engine.layers.is_some(),
                    ..TargetRecord::default()
                };
            }
            let ordered = record.pending_order.map(|order| order.layers);
            if ordered.is_some() && ordered == engine.layers {
                record.pending_order = None;
            }
        }
        if engines.len() != self.engine_count {
            self.engine_count = engines.len();
            self.count_changed_at = now;
        }
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
        let planned_engines: Vec<PlannedEngine> = members
            .iter()
            .map(|engine| PlannedEngine {
                name: engine.name.clone(),
                accelerator: engine.accelerator.clone(),
                layers: self.expected_layers(engine),
            })
            .collect();
        let has_gap = has_gap(model, &planned_engines);
        let since = *self.gap_since.entry(place.clone()).or_insert(now);
        if !has_gap {
            self.gap_since.remove(place);
        }
        let may_move = has_gap && now - since >= self.settings.move_delay_ms;
        let plan = plan_layers(model, &planned_engines);
        let orders = members.iter().filter_map(|engine| {
            let layers = *plan.get(&engine.name)?;
            let holds_layers = self.expected_layers(engine).is_some();
            let record = self.records.get(&engine.name)?;
            let can_be_ordered = record.pending_order.is_none() && !record.needs_report;
            let is_waiting_spare =
                !has_gap && now - record.first_seen_at < self.settings.spare_delay_ms;
            let may_order = can_be_ordered
                && if holds_layers {
                    may_move
                } else {
                    !is_waiting_spare
                };
            may_order.then(|| PlacementOrder {
                target: engine.name.clone(),
                incarnation: engine.incarnation,
                address: engine.address,
                layers,
                accepted_orders: record.accepted_orders,
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

/// Whether some layers of the model are held by no engine of a zone.
fn has_gap(model: &PipelineModel, engines: &[PlannedEngine]) -> bool {
    let mut coverage = crate::coverage::Coverage::new(model.layers);
    let held = engines.iter().filter_map(|engine| engine.layers);
    held.for_each(|layers| coverage.add(layers, 1.0));
    coverage.first_gap().is_some()
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
