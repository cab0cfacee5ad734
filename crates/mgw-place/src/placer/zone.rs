//! Decisions for one zone: layers for empty engines, engines moved into gaps and to narrow layers.

use std::collections::BTreeMap;

use mgw_world::{LayerRange, Millis, PipelineModel, PlaceName, TargetName};

use super::Placer;
use crate::order::{AnnouncedEngine, Decision, DecisionCause, PlacementOrder};
use crate::plan::{PlannedEngine, flow_of, is_held_by, plan_by_speed, plan_with_former};
use crate::rebalance::{MoveCandidates, find_move};

/// State of an engine from which the orders to its zone are planned.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PlanInput {
    engine: PlannedEngine,
    can_be_ordered: bool,
    can_move: bool,
    is_loading: bool,
}

/// What decides which part of a zone's plan may be ordered.
#[derive(Debug, Clone, Copy)]
struct ZoneState {
    /// Whether some layers have no holder.
    has_gap: bool,
    /// Whether engines that hold layers may be moved into the gap.
    may_move: bool,
    /// Whether a wrong choice leaves no gap: each layer has two holders by the plan, or there is a gap anyway.
    is_safe: bool,
}

/// State that the placer keeps about one zone.
#[derive(Debug, Clone, Default)]
pub(super) struct ZoneRecord {
    /// When a gap was first seen that is still there.
    gap_since: Option<Millis>,
    /// When engines left the zone, oldest first; one time for each that no empty engine replaced yet.
    pub vacancies: Vec<Millis>,
    /// When a move first was worth its cost, and still is.
    move_since: Option<Millis>,
    /// Input for which the plan was empty: while it stays the same, nothing is planned.
    idle_input: Option<Vec<PlanInput>>,
}

impl Placer {
    /// Plans the orders to the engines of one zone.
    pub(super) fn plan_zone(
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
        let plan = if self.settings.by_flow {
            plan_with_former(model, &engines, &self.former_layers(&engines))
        } else {
            plan_by_speed(model, &engines)
        };
        let state = ZoneState {
            has_gap,
            may_move,
            is_safe: has_gap || is_held_by(model, &apply(&engines, &plan), 2),
        };
        let mut chosen = self.choose_planned(&inputs, &plan, state, &mut zone.vacancies, now);
        let mut cause = if has_gap {
            DecisionCause::Gap
        } else {
            DecisionCause::Empty
        };
        let is_assigning = inputs
            .iter()
            .any(|it| it.engine.layers.is_none() && plan.contains_key(&it.engine.name));
        if !is_assigning && !has_gap {
            if self.settings.by_flow {
                chosen = self.choose_move(model, &mut zone, &inputs, now);
            }
            cause = DecisionCause::Rebalance;
            if zone.move_since.is_none() {
                zone.idle_input = Some(inputs);
            }
        }
        self.zones.insert(place.clone(), zone);
        self.record_decisions(model, place, &engines, &chosen, cause);
        self.write_orders(members, &chosen)
    }

    /// The part of a plan that may be ordered now. Each empty engine in it takes the place of one that left.
    fn choose_planned(
        &self,
        inputs: &[PlanInput],
        plan: &BTreeMap<TargetName, LayerRange>,
        state: ZoneState,
        vacancies: &mut Vec<Millis>,
        now: Millis,
    ) -> BTreeMap<TargetName, LayerRange> {
        let mut chosen = BTreeMap::new();
        for input in inputs.iter().filter(|it| it.can_be_ordered) {
            let name = &input.engine.name;
            let Some(layers) = plan.get(name) else {
                continue;
            };
            if input.engine.layers.is_some() {
                if state.may_move {
                    chosen.insert(name.clone(), *layers);
                }
                continue;
            }
            let is_replacement_due =
                self.settings.by_flow && state.is_safe && !vacancies.is_empty();
            let is_expected = state.has_gap || is_replacement_due;
            if is_expected || !self.is_waiting_spare(name, state.is_safe, now) {
                if !vacancies.is_empty() {
                    vacancies.remove(0);
                }
                chosen.insert(name.clone(), *layers);
            }
        }
        chosen
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

    /// Whether an empty engine without former layers must still wait, as it may have been started to replace
    /// one that is about to leave.
    fn is_waiting_spare(&self, name: &TargetName, is_safe: bool, now: Millis) -> bool {
        let by_flow = self.settings.by_flow;
        let delay_ms = if by_flow && is_safe {
            self.settings.spare_delay_ms
        } else {
            self.settings.fragile_delay_ms
        };
        self.records.get(name).is_some_and(|record| {
            let takes_former = by_flow && record.former_layers.is_some();
            !takes_former && now - record.first_seen_at < delay_ms
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
}

/// The engines with the layers of a plan.
fn apply(engines: &[PlannedEngine], plan: &BTreeMap<TargetName, LayerRange>) -> Vec<PlannedEngine> {
    let applied = engines.iter().map(|engine| PlannedEngine {
        layers: plan.get(&engine.name).copied().or(engine.layers),
        ..engine.clone()
    });
    applied.collect()
}
