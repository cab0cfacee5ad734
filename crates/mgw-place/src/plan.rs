//! Plans the layers of the engines of one availability zone.

use std::collections::BTreeMap;

use mgw_world::{Accelerator, AcceleratorKind, LayerRange, PipelineModel, TargetName};

use crate::coverage::{Coverage, fitting_layers};
use crate::flow::{Holder, ZoneFlow, capacity, zone_flow};
use crate::offer::{Offers, request_tokens};

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
/// How often the ranges of newly planned engines are chosen anew, each against the others.
const REFINE_ROUNDS: usize = 8;
/// Need up to which an engine gets its former layers back, as a multiple of the least need.
const FORMER_NEED: f64 = 1.05;

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
/// the layers whose holders are the slowest. In a zone where some engines hold layers, each empty engine
/// gets the range that leaves the least need for further holders; a gap that is left is closed by
/// engines whose layers other engines hold as well.
#[must_use]
pub fn plan_layers(
    model: &PipelineModel,
    engines: &[PlannedEngine],
) -> BTreeMap<TargetName, LayerRange> {
    plan_with_former(model, engines, &BTreeMap::new())
}

/// Like [`plan_layers`], for engines of which some held `former` layers before they restarted.
pub(crate) fn plan_with_former(
    model: &PipelineModel,
    engines: &[PlannedEngine],
    former: &BTreeMap<TargetName, LayerRange>,
) -> BTreeMap<TargetName, LayerRange> {
    let resolved = resolve(model, engines);
    if is_empty(&resolved) {
        return plan_empty_zone(model, &resolved);
    }
    let mut plan = assign_by_need(model, &resolved, former);
    let mut coverage = coverage_of(model, &resolved, &plan);
    close_gaps(model, &resolved, &mut coverage, &mut plan);
    plan
}

/// Like [`plan_layers`], but the empty engines of a partly filled zone get the layers whose holders are
/// the slowest.
pub(crate) fn plan_by_speed(
    model: &PipelineModel,
    engines: &[PlannedEngine],
) -> BTreeMap<TargetName, LayerRange> {
    let resolved = resolve(model, engines);
    if is_empty(&resolved) {
        return plan_empty_zone(model, &resolved);
    }
    let mut plan = BTreeMap::new();
    let mut coverage = coverage_of(model, &resolved, &plan);
    let empty = empty_engines(&resolved);
    assign_most_needed(model, &empty, &mut coverage, &mut plan);
    close_gaps(model, &resolved, &mut coverage, &mut plan);
    plan
}

/// The flow of a zone with the layers that its engines hold or were ordered to hold.
#[must_use]
pub fn flow_of(model: &PipelineModel, engines: &[PlannedEngine]) -> ZoneFlow {
    flow_with(model, &resolve(model, engines), |it| it.engine.layers)
}

/// The flow of a zone whose engines hold what `layers_of` tells.
pub(crate) fn flow_with(
    model: &PipelineModel,
    engines: &[ResolvedEngine<'_>],
    layers_of: impl Fn(&ResolvedEngine<'_>) -> Option<LayerRange>,
) -> ZoneFlow {
    let holders = engines
        .iter()
        .filter_map(|it| Some(it.holder(model, layers_of(it)?)));
    zone_flow(model.layers, &holders.collect::<Vec<_>>())
}

/// Whether each layer of the model has at least `holders` holders.
pub(crate) fn is_held_by(model: &PipelineModel, engines: &[PlannedEngine], holders: usize) -> bool {
    let resolved = resolve(model, engines);
    (0..model.layers).all(|layer| {
        let ranges = resolved.iter().filter_map(|it| it.engine.layers);
        let count = ranges.filter(|it| it.first() <= layer && layer < it.end());
        count.count() >= holders
    })
}

/// The engines of a known accelerator kind, the fastest first. An engine that claims layers which the
/// model doesn't have, or more than fit, is left out.
pub(crate) fn resolve<'a>(
    model: &'a PipelineModel,
    engines: &'a [PlannedEngine],
) -> Vec<ResolvedEngine<'a>> {
    let mut resolved: Vec<ResolvedEngine<'_>> = engines
        .iter()
        .filter_map(|engine| {
            let accelerator = model.accelerator(&engine.accelerator)?;
            let is_possible = engine.layers.is_none_or(|layers| {
                layers.end() <= model.layers && layers.count() <= model.max_layers(accelerator)
            });
            is_possible.then_some(ResolvedEngine {
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
    resolved
}

/// An engine whose accelerator kind is part of the model's description.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResolvedEngine<'a> {
    pub engine: &'a PlannedEngine,
    pub accelerator: &'a Accelerator,
}

impl ResolvedEngine<'_> {
    /// The engine as a holder of a range.
    pub fn holder(&self, model: &PipelineModel, layers: LayerRange) -> Holder {
        Holder {
            layers,
            token_layers: capacity(model, self.accelerator, layers.count()),
        }
    }

    /// Reciprocal of the accelerator's step factor.
    fn speed(&self) -> f64 {
        1.0 / self.accelerator.step_factor.max(f64::MIN_POSITIVE)
    }
}

/// Plans a zone in which no engine holds layers as chains of the fastest engines.
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

/// Whether no engine of a zone holds layers.
fn is_empty(engines: &[ResolvedEngine<'_>]) -> bool {
    engines.iter().all(|it| it.engine.layers.is_none())
}

/// The engines of a zone that hold no layers.
fn empty_engines<'a>(engines: &[ResolvedEngine<'a>]) -> Vec<ResolvedEngine<'a>> {
    let empty = engines.iter().filter(|it| it.engine.layers.is_none());
    empty.copied().collect()
}

/// Coverage of the layers by what engines hold, or by what the plan gives them.
fn coverage_of(
    model: &PipelineModel,
    engines: &[ResolvedEngine<'_>],
    plan: &BTreeMap<TargetName, LayerRange>,
) -> Coverage {
    let mut coverage = Coverage::new(model.layers);
    for resolved in engines {
        let planned = plan.get(&resolved.engine.name).copied();
        if let Some(layers) = planned.or(resolved.engine.layers) {
            coverage.add(layers, resolved.speed());
        }
    }
    coverage
}

/// Gives each empty engine the range that leaves the least need for further holders. Once all have
/// one, each is chosen anew against the others.
fn assign_by_need(
    model: &PipelineModel,
    engines: &[ResolvedEngine<'_>],
    former: &BTreeMap<TargetName, LayerRange>,
) -> BTreeMap<TargetName, LayerRange> {
    let mut plan = BTreeMap::new();
    let empty = empty_engines(engines);
    for _ in 0..REFINE_ROUNDS {
        let mut has_changed = false;
        for resolved in &empty {
            let left_out = Some(&resolved.engine.name);
            let offers = offers_of_others(model, engines, left_out, &plan);
            let Some(layers) = choose_range(model, resolved, former, &offers) else {
                continue;
            };
            let previous = plan.insert(resolved.engine.name.clone(), layers);
            has_changed |= previous != Some(layers);
        }
        if !has_changed {
            break;
        }
    }
    plan
}

/// The range for an engine: its former one, unless others are needed more.
fn choose_range(
    model: &PipelineModel,
    resolved: &ResolvedEngine<'_>,
    former: &BTreeMap<TargetName, LayerRange>,
    offers: &Offers,
) -> Option<LayerRange> {
    let accelerator = resolved.accelerator;
    let best = offers.best_range(model, accelerator)?;
    let former = former.get(&resolved.engine.name).copied().filter(|former| {
        let tokens = capacity(model, accelerator, former.count()) / f64::from(former.count());
        former.end() <= model.layers
            && tokens >= request_tokens(model)
            && offers.need_with(model, accelerator, *former) <= FORMER_NEED * best.need
    });
    Some(former.unwrap_or(best.layers))
}

/// Offers of the engines of a zone, without the one named `left_out`.
pub(crate) fn offers_of_others(
    model: &PipelineModel,
    engines: &[ResolvedEngine<'_>],
    left_out: Option<&TargetName>,
    plan: &BTreeMap<TargetName, LayerRange>,
) -> Offers {
    let mut offers = Offers::new(model);
    let others = engines
        .iter()
        .filter(|it| Some(&it.engine.name) != left_out);
    for other in others {
        let planned = plan.get(&other.engine.name).copied();
        if let Some(layers) = planned.or(other.engine.layers) {
            offers.add(model, other.accelerator, layers);
        }
    }
    offers
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
