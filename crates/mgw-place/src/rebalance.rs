//! Moves engines whose layers others hold in plenty to the narrowest layers of their zone.

use std::collections::{BTreeMap, BTreeSet};

use mgw_world::{LayerRange, PipelineModel, TargetName};

use crate::flow::{Holder, zone_flow};
use crate::plan::{PlannedEngine, ResolvedEngine, offers_of_others, resolve};

/// Least fraction of the need that a move must remove: the move costs a load, and refusals while it runs.
const LEAST_RELIEF: f64 = 0.2;
/// Least fraction by which a move must raise the flow if it removes less of the need.
const LEAST_GAIN: f64 = 0.1;
/// Fraction of the flow that must remain while the moved engine loads.
const REMAINING_FLOW: f64 = 0.9;

/// What the engines of a zone may take part in.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MoveCandidates {
    /// Engines that can be ordered to move.
    pub movable: BTreeSet<TargetName>,
    /// Engines that don't serve the layers yet which they were ordered to hold.
    pub loading: BTreeSet<TargetName>,
}

/// A move of an engine that holds layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Name of the target that moves.
    pub target: TargetName,
    /// Layers that it shall hold.
    pub layers: LayerRange,
}

/// The move that leaves the least need in a zone; `None` if none is worth its cost.
///
/// A move lowers the zone's need and doesn't lower its flow, or raises its flow and not its need, by at least
/// a fixed fraction. So in a zone whose engines stay the same the number of moves is bounded, and none is
/// undone.
#[must_use]
pub fn find_move(
    model: &PipelineModel,
    engines: &[PlannedEngine],
    candidates: &MoveCandidates,
) -> Option<Move> {
    let resolved = resolve(model, engines);
    let nothing = BTreeMap::new();
    let none_left_out = "".into();
    let need = offers_of_others(model, &resolved, &none_left_out, &nothing).need();
    let serving: Vec<ResolvedEngine<'_>> = resolved
        .iter()
        .copied()
        .filter(|it| !candidates.loading.contains(&it.engine.name))
        .collect();
    let least_flow = REMAINING_FLOW * flow_without(model, &serving, None);
    let flow = flow_moved(model, &resolved, None);
    let mut least_need = need;
    let mut best = None;
    for mover in &resolved {
        let name = &mover.engine.name;
        let Some(held) = mover
            .engine
            .layers
            .filter(|_| candidates.movable.contains(name))
        else {
            continue;
        };
        let offers = offers_of_others(model, &resolved, name, &nothing);
        let Some(choice) = offers.best_range(model, mover.accelerator) else {
            continue;
        };
        if choice.need >= least_need || choice.layers == held {
            continue;
        }
        let found = Move {
            target: name.clone(),
            layers: choice.layers,
        };
        let flow_after = flow_moved(model, &resolved, Some(&found));
        let is_relief = choice.need <= need * (1.0 - LEAST_RELIEF) && flow_after >= flow;
        let is_gain = flow_after >= flow * (1.0 + LEAST_GAIN);
        let is_worth_it = is_relief || is_gain;
        if is_worth_it && flow_without(model, &serving, Some(name)) >= least_flow {
            least_need = choice.need;
            best = Some(found);
        }
    }
    best
}

/// Flow of a zone without one of its engines.
fn flow_without(
    model: &PipelineModel,
    engines: &[ResolvedEngine<'_>],
    left_out: Option<&TargetName>,
) -> f64 {
    let others = engines
        .iter()
        .filter(|it| Some(&it.engine.name) != left_out);
    let holders: Vec<Holder> = others
        .filter_map(|it| Some(it.holder(model, it.engine.layers?)))
        .collect();
    zone_flow(model.layers, &holders).tokens
}

/// Flow of a zone once a move is carried out.
fn flow_moved(model: &PipelineModel, engines: &[ResolvedEngine<'_>], moved: Option<&Move>) -> f64 {
    let holders: Vec<Holder> = engines
        .iter()
        .filter_map(|it| {
            let target = moved.filter(|found| found.target == it.engine.name);
            let layers = target.map(|found| found.layers).or(it.engine.layers)?;
            Some(it.holder(model, layers))
        })
        .collect();
    zone_flow(model.layers, &holders).tokens
}
