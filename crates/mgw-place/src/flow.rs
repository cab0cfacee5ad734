//! Flow of a zone: the context tokens that the holders of each layer can keep at the same time.

use mgw_world::{Accelerator, LayerRange, PipelineModel};

/// Steps of the binary search over the flow.
const SEARCH_STEPS: usize = 24;

/// An engine's layers with its capacity, which may be divided unevenly over them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Holder {
    /// Layers that the engine holds.
    pub layers: LayerRange,
    /// Capacity in tokens times layers.
    pub token_layers: f64,
}

/// Flow through all layers of a zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneFlow {
    /// Largest number of context tokens for which each layer has capacity at the same time.
    pub tokens: f64,
    /// Narrowest layers: those whose holders limit the flow.
    pub narrowest: Option<LayerRange>,
}

/// Capacity of an engine that holds `layers` layers, in tokens times layers: what its memory keeps
/// beside the weights, but no more than it can compute for.
///
/// The computing limit is the number of requests in progress by Little's law: the time of a usual request at
/// this accelerator's speed, divided by the time for which it occupies one layer of this engine.
#[must_use]
pub fn capacity(model: &PipelineModel, accelerator: &Accelerator, layers: u16) -> f64 {
    let prompt = f64::from(model.usual_prompt_tokens);
    let answer = f64::from(model.usual_answer_tokens);
    let context = prompt + answer;
    let prefill_ms = prompt / model.prefill_tokens_per_ms.max(f64::MIN_POSITIVE);
    let token_ms = model.request_step_ms + model.context_step_ms * context / 1_000.0;
    let busy_ms =
        prefill_ms * accelerator.prefill_factor + answer * token_ms * accelerator.step_factor;
    let busy_ms_per_layer = busy_ms / f64::from(model.layers.max(1));
    let residence_ms =
        prefill_ms * accelerator.prefill_factor + answer * model.step_ms * accelerator.step_factor;
    let by_memory = model.kv_token_layers(accelerator, layers);
    if busy_ms_per_layer <= 0.0 || residence_ms <= 0.0 {
        return by_memory;
    }
    by_memory.min(residence_ms / busy_ms_per_layer * context)
}

/// The flow of a zone whose model has `layers` layers.
///
/// A flow is feasible if each layer in turn gets its share from the holders whose range ends first.
/// The largest one is found by binary search.
#[must_use]
pub fn zone_flow(layers: u16, holders: &[Holder]) -> ZoneFlow {
    let mut sorted: Vec<Holder> = holders.to_vec();
    sorted.sort_by_key(|holder| (holder.layers.end(), holder.layers.first()));
    let total: f64 = sorted.iter().map(|holder| holder.token_layers).sum();
    let mut low = 0.0;
    let mut high = total / f64::from(layers.max(1)) + 1.0;
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        if first_short_layer(layers, &sorted, middle).is_none() {
            low = middle;
        } else {
            high = middle;
        }
    }
    let short = first_short_layer(layers, &sorted, high);
    ZoneFlow {
        tokens: low,
        narrowest: short.and_then(|layer| narrowest_up_to(&sorted, layer)),
    }
}

/// The first layer that doesn't get capacity for `tokens` tokens.
fn first_short_layer(layers: u16, sorted: &[Holder], tokens: f64) -> Option<u16> {
    let mut remaining: Vec<f64> = sorted.iter().map(|holder| holder.token_layers).collect();
    (0..layers).find(|layer| {
        let mut missing = tokens;
        for (holder, left) in sorted.iter().zip(&mut remaining) {
            let range = holder.layers;
            if range.first() <= *layer && *layer < range.end() {
                let taken = missing.min(*left);
                *left -= taken;
                missing -= taken;
            }
        }
        missing > 0.0
    })
}

/// The layers up to and with `last` whose holders have the least capacity for each layer.
fn narrowest_up_to(holders: &[Holder], last: u16) -> Option<LayerRange> {
    let width = |first: u16| {
        let overlapping = holders
            .iter()
            .filter(|holder| holder.layers.first() <= last && holder.layers.end() > first);
        let total: f64 = overlapping.map(|holder| holder.token_layers).sum();
        total / f64::from(last - first + 1)
    };
    let first = (0..=last)
        .rev()
        .min_by(|left, right| width(*left).total_cmp(&width(*right)))?;
    LayerRange::new(first, last + 1).ok()
}
