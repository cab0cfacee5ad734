//! Moves engines whose layers others hold in plenty to the narrowest layers of their zone.

use std::collections::{BTreeMap, BTreeSet};

use mgw_world::{LayerRange, PipelineModel, TargetName};

use crate::plan::{PlannedEngine, ResolvedEngine, flow_with, offers_of_others, resolve};

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
    let need = offers_of_others(model, &resolved, None, &nothing).need();
    let serving: Vec<ResolvedEngine<'_>> = resolved
        .iter()
        .copied()
        .filter(|it| !candidates.loading.contains(&it.engine.name))
        .collect();
    let held_by = |it: &ResolvedEngine<'_>| it.engine.layers;
    let least_flow = REMAINING_FLOW * flow_with(model, &serving, held_by).tokens;
    let flow = flow_with(model, &resolved, held_by).tokens;
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
        let offers = offers_of_others(model, &resolved, Some(name), &nothing);
        let Some(choice) = offers.best_range(model, mover.accelerator) else {
            continue;
        };
        if choice.need >= least_need || choice.layers == held {
            continue;
        }
        let is_mover = |it: &ResolvedEngine<'_>| it.engine.name == *name;
        let moved = |it: &ResolvedEngine<'_>| {
            let layers = is_mover(it).then_some(choice.layers);
            layers.or(it.engine.layers)
        };
        let flow_after = flow_with(model, &resolved, moved).tokens;
        let is_relief = choice.need <= need * (1.0 - LEAST_RELIEF) && flow_after >= flow;
        let is_gain = flow_after >= flow * (1.0 + LEAST_GAIN);
        let is_worth_it = is_relief || is_gain;
        let others = |it: &ResolvedEngine<'_>| it.engine.layers.filter(|_| !is_mover(it));
        if is_worth_it && flow_with(model, &serving, others).tokens >= least_flow {
            least_need = choice.need;
            best = Some(Move {
                target: name.clone(),
                layers: choice.layers,
            });
        }
    }
    best
}
