//! Turns plans into orders and tracks each order until its effect is announced.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mgw_contract::target::EngineReport;
use mgw_world::{Incarnation, LayerRange, Millis, PipelineModel, PlaceName, TargetName};

use crate::order::{AnnouncedEngine, Decision, OrderOutcome, PlacementOrder};

mod settings;
mod zone;

pub use settings::PlacerSettings;
use zone::ZoneRecord;

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

/// State that the placer keeps about one target.
#[derive(Debug, Clone, Default)]
struct TargetRecord {
    incarnation: Incarnation,
    address: Option<SocketAddr>,
    /// Layers that the target announced last, and its zone.
    last_layers: Option<(PlaceName, LayerRange)>,
    /// Layers that it held before it restarted, or that its predecessor at the address held.
    former_layers: Option<LayerRange>,
    /// When it was last ordered to move to the narrowest layers; moves into gaps don't count.
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

    /// Sets whether targets are placed by what can flow; the zones are planned anew when it changes.
    pub fn set_by_flow(&mut self, by_flow: bool) {
        if self.settings.by_flow != by_flow {
            self.settings.by_flow = by_flow;
            self.zones.clear();
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
        let mut absent = Vec::new();
        self.records.retain(|name, record| {
            let is_present = names.contains(name);
            if !is_present {
                absent.extend(record.address.zip(record.last_layers.take()));
            }
            is_present
        });
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

/// Time to load `layers` while `running` loads run: beyond the number of loads that the store serves
/// at full speed, each load takes longer in proportion.
fn load_time(model: &PipelineModel, layers: LayerRange, running: usize) -> Millis {
    let at_once = u64::from(model.loads_at_once.max(1));
    let running = u64::try_from(running).unwrap_or(u64::MAX).max(1);
    let slowdown = running.div_ceil(at_once);
    let share_ms = model.load_ms.0 * u64::from(layers.count()) / u64::from(model.layers.max(1));
    Millis(share_ms).times(slowdown)
}
