//! The layers of the engines of one availability zone.

use std::collections::BTreeMap;

use mgw_world::{Accelerator, AcceleratorKind, LayerRange, PipelineModel, TargetName};

use crate::window::{Coverage, fitting_layers};

/// KV cache that the first chain of a zone leaves room for, in tokens of whole requests: some
/// eighty requests of usual length at once.
const FIRST_KV_TOKENS: f64 = 66_000.0;
/// KV cache that a second chain leaves room for in a zone that can't hold many: a second copy of the
/// layers is worth more there than its memory for requests.
const SECOND_KV_TOKENS: f64 = 30_000.0;
/// Copies of all layers from which a zone counts as able to hold many.
const MANY_COPIES: f64 = 3.0;
/// KV cache beside the layers of an engine that covers for others.
const COVER_KV_TOKENS: f64 = 60_000.0;

/// An engine as the plan sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedEngine {
    /// Name of the target.
    pub name: TargetName,
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
    /// Layers that it holds or was ordered to hold.
    pub layers: Option<LayerRange>,
}

/// Layers for the engines of one zone that hold none, and for those that are needed elsewhere.
///
/// In a zone where nobody holds layers, chains are made from the fastest engines on: each is as
/// short as the memory for KV cache allows, and its layers are spread so that all of its engines
/// have room for the same number of tokens. Engines that are left over hold the layers whose
/// holders are the slowest. In a zone that is in use, engines without layers take the run that
/// needs them most; a gap is closed by engines whose layers others hold as well.
#[must_use]
pub fn plan_layers(
    model: &PipelineModel,
    engines: &[PlannedEngine],
) -> BTreeMap<TargetName, LayerRange> {
    let mut known: Vec<Known<'_>> = engines
        .iter()
        .filter_map(|engine| {
            let accelerator = model.accelerator(&engine.accelerator)?;
            Some(Known {
                engine,
                accelerator,
            })
        })
        .collect();
    known.sort_by(|left, right| {
        let by_speed = left.accelerator.step_factor;
        let by_speed = by_speed.total_cmp(&right.accelerator.step_factor);
        by_speed.then_with(|| left.engine.name.cmp(&right.engine.name))
    });
    let is_fresh = known.iter().all(|it| it.engine.layers.is_none());
    if is_fresh {
        plan_fresh(model, &known)
    } else {
        plan_further(model, &known)
    }
}

#[derive(Debug, Clone, Copy)]
struct Known<'a> {
    engine: &'a PlannedEngine,
    accelerator: &'a Accelerator,
}

impl Known<'_> {
    fn speed(&self) -> f64 {
        1.0 / self.accelerator.step_factor.max(f64::MIN_POSITIVE)
    }
}

fn plan_fresh(model: &PipelineModel, engines: &[Known<'_>]) -> BTreeMap<TargetName, LayerRange> {
    let mut plan = BTreeMap::new();
    let mut coverage = Coverage::new(model.layers);
    let mut rest = engines;
    let further_kv_tokens = if count_copies(model, engines) >= MANY_COPIES {
        FIRST_KV_TOKENS
    } else {
        SECOND_KV_TOKENS
    };
    let mut kv_tokens = FIRST_KV_TOKENS;
    while let Some(count) = shortest_chain(model, rest, kv_tokens) {
        let (chain, further) = rest.split_at(count);
        // Engines that would make no chain of their own widen this one.
        let is_last = shortest_chain(model, further, further_kv_tokens).is_none();
        let is_first = rest.len() == engines.len();
        let (chain, further) = if is_last && !is_first {
            (rest, &rest[rest.len()..])
        } else {
            (chain, further)
        };
        for (known, layers) in chain.iter().zip(spread_layers(model, chain)) {
            coverage.add(layers, known.speed());
            plan.insert(known.engine.name.clone(), layers);
        }
        rest = further;
        kv_tokens = further_kv_tokens;
    }
    cover(model, rest, &mut coverage, &mut plan);
    plan
}

/// Copies of all layers that the engines can hold beside the KV cache of a first chain.
fn count_copies(model: &PipelineModel, engines: &[Known<'_>]) -> f64 {
    let layers = engines
        .iter()
        .map(|known| model.layers_beside_kv(known.accelerator, FIRST_KV_TOKENS));
    layers.sum::<f64>() / f64::from(model.layers.max(1))
}

/// Number of engines from the start that cover all layers beside the KV cache of `kv_tokens`.
fn shortest_chain(model: &PipelineModel, engines: &[Known<'_>], kv_tokens: f64) -> Option<usize> {
    let mut layers = 0.0;
    for (at, known) in engines.iter().enumerate() {
        layers += model.layers_beside_kv(known.accelerator, kv_tokens);
        if layers >= f64::from(model.layers) {
            return Some(at + 1);
        }
    }
    None
}

/// Spreads all layers in proportion to memory: the engines then have room for the same number of
/// tokens. Rounding goes to the engines in order, so that the ranges join without a gap.
fn spread_layers(model: &PipelineModel, chain: &[Known<'_>]) -> Vec<LayerRange> {
    let memory: f64 = chain.iter().map(|it| memory_of(it)).sum();
    let mut first = 0_u16;
    let mut passed = 0.0;
    let mut ranges = Vec::with_capacity(chain.len());
    for known in chain {
        passed += memory_of(known);
        let end = (passed / memory * f64::from(model.layers)).round() as u16;
        if let Ok(range) = LayerRange::new(first, end.min(model.layers)) {
            ranges.push(range);
        }
        first = end;
    }
    ranges
}

const fn memory_of(known: &Known<'_>) -> f64 {
    known.accelerator.memory_bytes as f64
}

fn plan_further(model: &PipelineModel, engines: &[Known<'_>]) -> BTreeMap<TargetName, LayerRange> {
    let mut plan = BTreeMap::new();
    let mut coverage = Coverage::new(model.layers);
    for known in engines {
        if let Some(layers) = known.engine.layers {
            coverage.add(layers, known.speed());
        }
    }
    let empty: Vec<Known<'_>> = engines
        .iter()
        .copied()
        .filter(|it| it.engine.layers.is_none())
        .collect();
    cover(model, &empty, &mut coverage, &mut plan);
    close_gaps(model, engines, &mut coverage, &mut plan);
    plan
}

/// Gives each engine the run of layers that needs it most.
fn cover(
    model: &PipelineModel,
    engines: &[Known<'_>],
    coverage: &mut Coverage,
    plan: &mut BTreeMap<TargetName, LayerRange>,
) {
    for known in engines {
        let length = fitting_layers(model, known.accelerator, COVER_KV_TOKENS);
        if let Some(layers) = coverage.neediest_window(length) {
            coverage.add(layers, known.speed());
            plan.insert(known.engine.name.clone(), layers);
        }
    }
}

/// Moves engines whose layers are held elsewhere as well to layers that nobody holds, the slowest
/// first, if that closes the gap.
fn close_gaps(
    model: &PipelineModel,
    engines: &[Known<'_>],
    coverage: &mut Coverage,
    plan: &mut BTreeMap<TargetName, LayerRange>,
) {
    let mut moves = Vec::new();
    for known in engines.iter().rev() {
        let Some(gap) = coverage.first_gap() else {
            break;
        };
        let Some(held) = known.engine.layers else {
            continue;
        };
        coverage.remove(held, known.speed());
        if !coverage.is_held(held) {
            coverage.add(held, known.speed());
            continue;
        }
        let fitting = fitting_layers(model, known.accelerator, COVER_KV_TOKENS);
        let end = gap.first() + fitting.min(gap.count());
        if let Ok(layers) = LayerRange::new(gap.first(), end) {
            coverage.add(layers, known.speed());
            moves.push((known.engine.name.clone(), layers));
        }
    }
    if coverage.first_gap().is_none() {
        plan.extend(moves);
    }
}
