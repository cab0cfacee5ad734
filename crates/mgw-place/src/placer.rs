//! Turns plans into orders, and follows what became of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mgw_contract::target::EngineReport;
use mgw_world::{
    AcceleratorKind, Incarnation, LayerRange, Millis, PipelineModel, PlaceName, TargetName,
};

use crate::plan::{PlannedEngine, plan_layers};

/// Times of the placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacerSettings {
    /// How long the set of engines must have stood still before the first plan of a leader.
    pub settle_ms: Millis,
    /// Longest wait for that.
    pub settle_limit_ms: Millis,
    /// How long a gap must have lasted before engines that hold layers are moved into it: an
    /// engine that restarts takes its layers back sooner than a move would help.
    pub gap_ms: Millis,
    /// How long an empty engine of a zone without a gap waits for layers: when targets are replaced,
    /// the new one starts first, and the layers that it shall take become free a moment later.
    pub spare_ms: Millis,
    /// Time beside the load itself after which an order's effect must have been announced.
    pub announce_ms: Millis,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            settle_ms: Millis(1_300),
            settle_limit_ms: Millis(4_000),
            gap_ms: Millis(2_500),
            spare_ms: Millis(2_500),
            announce_ms: Millis(3_000),
        }
    }
}

/// An engine as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncedEngine {
    /// Name of the target.
    pub name: TargetName,
    /// Its start.
    pub incarnation: Incarnation,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Zone that it stands in.
    pub place: PlaceName,
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
    /// Layers held.
    pub layers: Option<LayerRange>,
}

/// An order to hold a range of layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementOrder {
    /// The target.
    pub target: TargetName,
    /// Its start.
    pub incarnation: Incarnation,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Layers to hold from then on.
    pub layers: LayerRange,
    /// Number of orders that the target must have accepted so far; else it refuses this one.
    pub accepted_orders: u64,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target began to carry it out.
    Begun,
    /// The target holds these layers already.
    Holds,
    /// The target has accepted another number of orders, or can't carry it out in its state.
    Refused,
    /// No answer: the target may carry it out at any time.
    Unknown,
}

/// An order that was given, until its effect is announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldOrder {
    /// Layers ordered.
    layers: LayerRange,
    /// When its effect must have been announced.
    due_at: Millis,
}

#[derive(Debug, Clone, Default)]
struct Record {
    incarnation: Incarnation,
    seen_at: Millis,
    accepted_orders: u64,
    order: Option<HeldOrder>,
    /// Whether the target must be asked for its state before another order.
    must_ask: bool,
}

/// Gives the orders of one leader.
#[derive(Debug)]
pub struct Placer {
    settings: PlacerSettings,
    started_at: Millis,
    changed_at: Millis,
    is_settled: bool,
    engines: usize,
    records: BTreeMap<TargetName, Record>,
    gap_since: BTreeMap<PlaceName, Millis>,
}

impl Placer {
    /// A placer of a leader whose term began at `now`.
    #[must_use]
    pub const fn new(settings: PlacerSettings, now: Millis) -> Self {
        Self {
            settings,
            started_at: now,
            changed_at: now,
            is_settled: false,
            engines: 0,
            records: BTreeMap::new(),
            gap_since: BTreeMap::new(),
        }
    }

    /// The orders to give now.
    pub fn plan(
        &mut self,
        model: &PipelineModel,
        engines: &[AnnouncedEngine],
        now: Millis,
    ) -> Vec<PlacementOrder> {
        self.follow(engines, now);
        if !self.is_ready(engines, now) {
            return Vec::new();
        }
        let mut places: BTreeMap<&PlaceName, Vec<&AnnouncedEngine>> = BTreeMap::new();
        for engine in engines {
            places.entry(&engine.place).or_default().push(engine);
        }
        let mut orders = Vec::new();
        for (place, members) in places {
            orders.extend(self.plan_members(model, place, &members, now));
        }
        orders
    }

    /// Targets to ask for their state before [`Self::plan`] can order them again.
    #[must_use]
    pub fn list_targets_to_query(&self, now: Millis) -> Vec<TargetName> {
        let is_due = |record: &Record| {
            record.must_ask || record.order.is_some_and(|order| now >= order.due_at)
        };
        let due = self.records.iter().filter(|(_, record)| is_due(record));
        due.map(|(name, _)| name.clone()).collect()
    }

    /// Takes what became of an order.
    pub fn record_outcome(
        &mut self,
        model: &PipelineModel,
        order: &PlacementOrder,
        outcome: OrderOutcome,
        now: Millis,
    ) {
        let load_ms = load_time(model, order.layers, self.running_loads());
        let due_at = now + load_ms + self.settings.announce_ms;
        let Some(record) = self.records.get_mut(&order.target) else {
            return;
        };
        if record.incarnation != order.incarnation {
            return;
        }
        let held = HeldOrder {
            layers: order.layers,
            due_at,
        };
        match outcome {
            OrderOutcome::Begun => {
                record.accepted_orders = order.accepted_orders + 1;
                record.order = Some(held);
            }
            OrderOutcome::Holds => record.order = Some(held),
            OrderOutcome::Refused => record.must_ask = true,
            OrderOutcome::Unknown => {
                record.order = Some(HeldOrder {
                    due_at: now + self.settings.announce_ms,
                    ..held
                });
            }
        }
    }

    /// Takes the state that a target reported.
    pub fn record_report(&mut self, name: &TargetName, state: EngineReport, now: Millis) {
        let announce_ms = self.settings.announce_ms;
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        record.must_ask = false;
        record.accepted_orders = state.accepted_orders;
        let order = record.order.take();
        let is_held = |order: &HeldOrder| state.is_busy || state.layers == Some(order.layers);
        record.order = order.filter(is_held).map(|order| HeldOrder {
            due_at: now + announce_ms,
            ..order
        });
    }

    /// Brings the records in line with what the engines announce.
    fn follow(&mut self, engines: &[AnnouncedEngine], now: Millis) {
        let names: std::collections::BTreeSet<&TargetName> =
            engines.iter().map(|engine| &engine.name).collect();
        self.records.retain(|name, _| names.contains(name));
        for engine in engines {
            let record = self.records.entry(engine.name.clone()).or_default();
            if record.incarnation != engine.incarnation {
                *record = Record {
                    incarnation: engine.incarnation,
                    seen_at: now,
                    // Another leader may have given it orders before.
                    must_ask: engine.layers.is_some(),
                    ..Record::default()
                };
            }
            let ordered = record.order.map(|order| order.layers);
            if ordered.is_some() && ordered == engine.layers {
                record.order = None;
            }
        }
        if engines.len() != self.engines {
            self.engines = engines.len();
            self.changed_at = now;
        }
    }

    fn is_ready(&mut self, engines: &[AnnouncedEngine], now: Millis) -> bool {
        let stood_ms = now - self.changed_at;
        let waited_ms = now - self.started_at;
        let settled = stood_ms >= self.settings.settle_ms;
        let limit = waited_ms >= self.settings.settle_limit_ms;
        self.is_settled |= !engines.is_empty() && (settled || limit);
        self.is_settled
    }

    fn plan_members(
        &mut self,
        model: &PipelineModel,
        place: &PlaceName,
        members: &[&AnnouncedEngine],
        now: Millis,
    ) -> Vec<PlacementOrder> {
        let planned: Vec<PlannedEngine> = members
            .iter()
            .map(|engine| PlannedEngine {
                name: engine.name.clone(),
                accelerator: engine.accelerator.clone(),
                layers: self.expected_layers(engine),
            })
            .collect();
        let has_gap = has_gap(model, &planned);
        let since = *self.gap_since.entry(place.clone()).or_insert(now);
        if !has_gap {
            self.gap_since.remove(place);
        }
        let may_move = has_gap && now - since >= self.settings.gap_ms;
        let plan = plan_layers(model, &planned);
        let orders = members.iter().filter_map(|engine| {
            let layers = *plan.get(&engine.name)?;
            let holds_layers = self.expected_layers(engine).is_some();
            let record = self.records.get(&engine.name)?;
            let is_free = record.order.is_none() && !record.must_ask;
            let is_spare = !has_gap && now - record.seen_at < self.settings.spare_ms;
            let may_order = is_free && if holds_layers { may_move } else { !is_spare };
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

    /// Layers that an engine holds, or will hold once its order is carried out.
    fn expected_layers(&self, engine: &AnnouncedEngine) -> Option<LayerRange> {
        let order = self.records.get(&engine.name)?.order;
        order.map(|order| order.layers).or(engine.layers)
    }

    fn running_loads(&self) -> usize {
        let ordered = self.records.values();
        ordered.filter(|record| record.order.is_some()).count()
    }
}

/// Whether the engines of a zone leave layers out that all of them together could hold.
fn has_gap(model: &PipelineModel, engines: &[PlannedEngine]) -> bool {
    let mut coverage = crate::window::Coverage::new(model.layers);
    let held = engines.iter().filter_map(|engine| engine.layers);
    held.for_each(|layers| coverage.add(layers, 1.0));
    coverage.first_gap().is_some()
}

/// Time of a load while others run: beyond the store's limit each takes longer in proportion.
fn load_time(model: &PipelineModel, layers: LayerRange, running: usize) -> Millis {
    let at_once = u64::from(model.loads_at_once.max(1));
    let running = u64::try_from(running).unwrap_or(u64::MAX).max(1);
    let slowdown = running.div_ceil(at_once);
    let share_ms = model.load_ms.0 * u64::from(layers.count()) / u64::from(model.layers.max(1));
    Millis(share_ms).times(slowdown)
}
