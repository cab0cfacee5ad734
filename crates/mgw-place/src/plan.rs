//! Plans the layers of the engines of one availability zone.

use std::collections::BTreeMap;

use mgw_world::{Accelerator, AcceleratorKind, LayerRange, PipelineModel, TargetName};

use crate::coverage::{Coverage, fitting_layers};

/// Tokens of KV cache for which the first chain of a zone reserves memory: enough for about eighty
/// requests of usual length at once.
const FIRST_CHAIN_KV_TOKENS: f64 = 66_000.0;
/// Tokens of KV cache for which each further chain reserves memory in a zone that can hold fewer
/// than [`MANY_COPIES`] copies of the layers: there a second copy of the layers is worth more than
/// memory for requests.
const FURTHER_CHAIN_KV_TOKENS: f64 = 30_000.0;
/// Number of copies of all layers from which further chains reserve as much memory as the first.
const MANY_COPIES: f64 = 3.0;
/// Tokens of KV cache for which an engine outside the planned chains reserves memory.
const BACKUP_KV_TOKENS: f64 = 60_000.0;

/// Input to [`plan_layers`]: an engine with the layers that it holds or will hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedEngine {
    /// Name of the target.
    pub name: TargetName,
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
    /// Layers that the engine holds or was ordered to hold; `None` if there are none.
    pub layers: Option<LayerRange>,
}

/// Assigns layers to the engines of one zone that hold none, and moves engines to close gaps.
///
/// The result holds only the engines whose layers change.
///
/// In a zone where no engine holds layers, chains are built starting with the fastest engines. Each
/// chain is as short as the memory that is reserved for KV cache allows, and its layers are spread
/// so that all of its engines have memory for the same number of tokens. The remaining engines get
/// the layers whose holders are the slowest. In a zone where some engines hold layers, each empty
/// engine gets the range that needs a further holder most; a gap that is left is closed by engines
/// whose layers other engines hold as well.
#[must_use]
pub fn plan_layers(
    model: &PipelineModel,
    engines: &[PlannedEngine],
) -> BTreeMap<TargetName, LayerRange> {
    let mut resolved: Vec<ResolvedEngine<'_>> = engines
        .iter()
        .filter_map(|engine| {
            let accelerator = model.accelerator(&engine.accelerator)?;
            Some(ResolvedEngine {
                engine,
                accelerator,
            })
        })
        .collect();
    resolved.sort_by(|left, right| {
        let by_speed = left.accelerator.step_factor;
        let by_speed = by_speed.total_cmp(&right.accelerator.step_factor);
        by_speed.then_with(|| left.engine.name.cmp(&right.engine.name))
    });
    let all_empty = resolved.iter().all(|it| it.engine.layers.is_none());
    if all_empty {
        plan_empty_zone(model, &resolved)
    } else {
        plan_partly_filled_zone(model, &resolved)
    }
}

/// An engine whose accelerator kind is part of the model's description.
#[derive(Debug, Clone, Copy)]
struct ResolvedEngine<'a> {
    engine: &'a PlannedEngine,
    accelerator: &'a Accelerator,
}

impl ResolvedEngine<'_> {
    /// Reciprocal of the accelerator's step factor.
    fn speed(&self) -> f64 {
        1.0 / self.accelerator.step_factor.max(f64::MIN_POSITIVE)
    }
}

/// Plans a zone in which no engine holds layers.
fn plan_empty_zone(
    model: &PipelineModel,
    engines: &[ResolvedEngine<'_>],
) -> BTreeMap<TargetName, LayerRange> {
    let mut plan = BTreeMap::new();
    let mut coverage = Coverage::new(model.layers);
    let mut remaining = engines;
    let further_kv_tokens = if count_copies(model, engines) >= MANY_COPIES {
        FIRST_CHAIN_KV_TOKENS
    } else {
        FURTHER_CHAIN_KV_TOKENS
    };
    let mut kv_tokens = FIRST_CHAIN_KV_TOKENS;
    while let Some(count) = shortest_chain(model, remaining, kv_tokens) {
        let (chain, after_chain) = remaining.split_at(count);
        // Engines after the last chain, too few for a chain of their own, join that chain, unless it is
        // the first one.
        let is_last = shortest_chain(model, after_chain, further_kv_tokens).is_none();
        let is_first = remaining.len() == engines.len();
        let (chain, after_chain) = if is_last && !is_first {
            (remaining, &remaining[remaining.len()..])
        } else {
            (chain, after_chain)
        };
        for (resolved, layers) in chain.iter().zip(spread_layers(model, chain)) {
            coverage.add(layers, resolved.speed());
            plan.insert(resolved.engine.name.clone(), layers);
        }
        remaining = after_chain;
        kv_tokens = further_kv_tokens;
    }
    assign_most_needed(model, remaining, &mut coverage, &mut plan);
    plan
}

/// Number of copies of all layers that the engines can hold beside the KV cache of a first chain.
fn count_copies(model: &PipelineModel, engines: &[ResolvedEngine<'_>]) -> f64 {
    let layers = engines
        .iter()
        .map(|resolved| model.layers_beside_kv(resolved.accelerator, FIRST_CHAIN_KV_TOKENS));
    layers.sum::<f64>() / f64::from(model.layers.max(1))
}

/// Smallest number of leading engines that can hold all layers beside the KV cache of `kv_tokens`
/// tokens; `None` if all of them together can't.
fn shortest_chain(
    model: &PipelineModel,
    engines: &[ResolvedEngine<'_>],
    kv_tokens: f64,
) -> Option<usize> {
    let mut layers = 0.0;
    for (index, resolved) in engines.iter().enumerate() {
        layers += model.layers_beside_kv(resolved.accelerator, kv_tokens);
        if layers >= f64::from(model.layers) {
            return Some(index + 1);
        }
    }
    None
}

/// Spreads all layers over a chain in proportion to memory, so that its engines have memory for the
/// same number of tokens. The cumulative share is rounded, so that the ranges join without a gap.
fn spread_layers(model: &PipelineModel, chain: &[ResolvedEngine<'_>]) -> Vec<LayerRange> {
    let total_memory: f64 = chain.iter().map(|it| memory_of(it)).sum();
    let mut first = 0_u16;
    let mut cumulative_memory = 0.0;
    let mut ranges = Vec::with_capacity(chain.len());
    for resolved in chain {
        cumulative_memory += memory_of(resolved);
        let end = (cumulative_memory / total_memory * f64::from(model.layers)).round() as u16;
        if let Ok(range) = LayerRange::new(first, end.min(model.layers)) {
            ranges.push(range);
        }
        first = end;
    }
    ranges
}

const fn memory_of(resolved: &ResolvedEngine<'_>) -> f64 {
    resolved.accelerator.memory_bytes as f64
}

/// Plans a zone in which some engines hold layers.
fn plan_partly_filled_zone(
    model: &PipelineModel,
    engines: &[ResolvedEngine<'_>],
) -> BTreeMap<TargetName, LayerRange> {
    let mut plan = BTreeMap::new();
    let mut coverage = Coverage::new(model.layers);
    for resolved in engines {
        if let Some(layers) = resolved.engine.layers {
            coverage.add(layers, resolved.speed());
        }
    }
    let empty: Vec<ResolvedEngine<'_>> = engines
        .iter()
        .copied()
        .filter(|it| it.engine.layers.is_none())
        .collect();
    assign_most_needed(model, &empty, &mut coverage, &mut plan);
    close_gaps(model, engines, &mut coverage, &mut plan);
    plan
}

/// Assigns to each engine the range of layers that needs a further holder most.
fn assign_most_needed(
    model: &PipelineModel,
    engines: &[ResolvedEngine<'_>],
    coverage: &mut Coverage,
    plan: &mut BTreeMap<TargetName, LayerRange>,
) {
    for resolved in engines {
        let length = fitting_layers(model, resolved.accelerator, BACKUP_KV_TOKENS);
        if let Some(layers) = coverage.neediest_window(length) {
            coverage.add(layers, resolved.speed());
            plan.insert(resolved.engine.name.clone(), layers);
        }
    }
}

/// Moves engines whose layers other engines hold as well to layers that no engine holds, the
/// slowest engine first. Moves none if gaps would remain.
fn close_gaps(
    model: &PipelineModel,
    engines: &[ResolvedEngine<'_>],
    coverage: &mut Coverage,
    plan: &mut BTreeMap<TargetName, LayerRange>,
) {
    let mut moves = Vec::new();
    for resolved in engines.iter().rev() {
        let Some(gap) = coverage.first_gap() else {
            break;
        };
        let Some(held) = resolved.engine.layers else {
            continue;
        };
        coverage.remove(held, resolved.speed());
        if !coverage.is_held(held) {
            coverage.add(held, resolved.speed());
            continue;
        }
        let fitting = fitting_layers(model, resolved.accelerator, BACKUP_KV_TOKENS);
        let end = gap.first() + fitting.min(gap.count());
        if let Ok(layers) = LayerRange::new(gap.first(), end) {
            coverage.add(layers, resolved.speed());
            moves.push((resolved.engine.name.clone(), layers));
        }
    }
    if coverage.first_gap().is_none() {
        plan.extend(moves);
    }
}
