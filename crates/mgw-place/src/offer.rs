//! What engines offer at each layer, and the range that widens the narrowest layers of a zone most.

use mgw_world::{Accelerator, LayerRange, PipelineModel};

use crate::flow::capacity;

/// Fraction of its largest holder's tokens that is subtracted from a layer's total, so that a layer that
/// depends on one holder counts as needing another.
const LOSS_SHARE: f64 = 0.5;

/// Tokens that the engines of one zone offer at each layer.
#[derive(Debug, Clone)]
pub(crate) struct Offers {
    layers: Vec<LayerOffer>,
    /// Tokens of one usual request, added to each layer so that the need of a layer without holder
    /// stays finite.
    request_tokens: f64,
}

/// Tokens that are offered at one layer.
#[derive(Debug, Clone, Copy, Default)]
struct LayerOffer {
    total: f64,
    largest: f64,
}

impl LayerOffer {
    const fn add(self, tokens: f64) -> Self {
        Self {
            total: self.total + tokens,
            largest: self.largest.max(tokens),
        }
    }

    /// Need of the layer for further holders: the reciprocal of the fourth power of its offer, so that the
    /// layers with the smallest offers dominate a sum.
    fn need(self, request_tokens: f64) -> f64 {
        let offer = self.total - LOSS_SHARE * self.largest + request_tokens;
        1.0 / (offer * offer).powi(2)
    }
}

/// The range for an engine, and the need that the zone has with the engine there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RangeChoice {
    pub layers: LayerRange,
    pub need: f64,
}

impl Offers {
    /// Offers of a zone without holders.
    pub fn new(model: &PipelineModel) -> Self {
        Self {
            layers: vec![LayerOffer::default(); usize::from(model.layers)],
            request_tokens: request_tokens(model),
        }
    }

    /// Adds an engine that holds `range`.
    pub fn add(&mut self, model: &PipelineModel, accelerator: &Accelerator, range: LayerRange) {
        let tokens = tokens_per_layer(model, accelerator, range.count());
        let end = usize::from(range.end());
        for layer in self
            .layers
            .iter_mut()
            .take(end)
            .skip(usize::from(range.first()))
        {
            *layer = layer.add(tokens);
        }
    }

    /// Sum of the needs of all layers.
    pub fn need(&self) -> f64 {
        let needs = self.layers.iter().map(|it| it.need(self.request_tokens));
        needs.sum()
    }

    /// Need of the zone once a further engine holds `range`.
    pub fn need_with(
        &self,
        model: &PipelineModel,
        accelerator: &Accelerator,
        range: LayerRange,
    ) -> f64 {
        let mut offers = self.clone();
        offers.add(model, accelerator, range);
        offers.need()
    }

    /// The range that leaves the least need; the first one on a tie. Ranges at which a layer gets fewer
    /// tokens than one usual request has aren't tried.
    pub fn best_range(
        &self,
        model: &PipelineModel,
        accelerator: &Accelerator,
    ) -> Option<RangeChoice> {
        let total = self.need();
        let mut best: Option<RangeChoice> = None;
        for length in 1..=model.max_layers(accelerator) {
            let tokens = tokens_per_layer(model, accelerator, length);
            if tokens < self.request_tokens {
                break;
            }
            for (first, relief) in self.reliefs(tokens, length) {
                let need = total - relief;
                if best.is_none_or(|it| need < it.need * (1.0 - f64::EPSILON.sqrt())) {
                    best = LayerRange::new(first, first + length)
                        .ok()
                        .map(|layers| RangeChoice { layers, need });
                }
            }
        }
        best
    }

    /// By how much a holder with `tokens` tokens lowers the need of each window of `length` layers.
    fn reliefs(&self, tokens: f64, length: u16) -> Vec<(u16, f64)> {
        let relief = |layer: &LayerOffer| {
            layer.need(self.request_tokens) - layer.add(tokens).need(self.request_tokens)
        };
        let reliefs: Vec<f64> = self.layers.iter().map(relief).collect();
        let windows = reliefs.windows(usize::from(length));
        let sums = windows.map(|window| window.iter().sum());
        (0..).zip(sums).collect()
    }
}

/// Context tokens of a usual request.
pub(crate) fn request_tokens(model: &PipelineModel) -> f64 {
    let tokens = f64::from(model.usual_prompt_tokens) + f64::from(model.usual_answer_tokens);
    tokens.max(1.0)
}

/// Tokens that an engine offers at each of its layers.
fn tokens_per_layer(model: &PipelineModel, accelerator: &Accelerator, layers: u16) -> f64 {
    capacity(model, accelerator, layers) / f64::from(layers.max(1))
}
