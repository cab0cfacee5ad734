//! How often each layer is held, and where a further engine helps most.

use mgw_world::{LayerRange, PipelineModel};

/// Strength that stands for a layer that nobody holds; keeps the need finite.
const UNCOVERED_STRENGTH: f64 = 0.02;

/// Speed with which each layer is held within one zone: the sum over its holders.
#[derive(Debug, Clone)]
pub(crate) struct Coverage {
    strength: Vec<f64>,
}

impl Coverage {
    pub fn new(layers: u16) -> Self {
        Self {
            strength: vec![0.0; usize::from(layers)],
        }
    }

    pub fn add(&mut self, range: LayerRange, speed: f64) {
        self.change(range, speed);
    }

    pub fn remove(&mut self, range: LayerRange, speed: f64) {
        self.change(range, -speed);
    }

    fn change(&mut self, range: LayerRange, by: f64) {
        let from = usize::from(range.first());
        let end = usize::from(range.end()).min(self.strength.len());
        for strength in self.strength.iter_mut().take(end).skip(from) {
            *strength = (*strength + by).max(0.0);
        }
    }

    /// The first run of layers that nobody holds.
    pub fn first_gap(&self) -> Option<LayerRange> {
        let is_open = |strength: &f64| *strength < f64::EPSILON;
        let first = self.strength.iter().position(is_open)?;
        let length = self
            .strength
            .iter()
            .skip(first)
            .take_while(|it| is_open(it));
        let first = u16::try_from(first).ok()?;
        let end = first + u16::try_from(length.count()).ok()?;
        LayerRange::new(first, end).ok()
    }

    /// Whether each layer of a range is held.
    pub fn is_held(&self, range: LayerRange) -> bool {
        let from = usize::from(range.first());
        let end = usize::from(range.end());
        (from..end).all(|layer| {
            self.strength
                .get(layer)
                .is_some_and(|it| *it > f64::EPSILON)
        })
    }

    /// The run of `length` layers that needs a further holder most; the first of equals.
    pub fn neediest_window(&self, length: u16) -> Option<LayerRange> {
        let length = usize::from(length).min(self.strength.len());
        if length == 0 {
            return None;
        }
        let need = |strength: &f64| 1.0 / (UNCOVERED_STRENGTH + strength);
        let windows = self.strength.windows(length).enumerate();
        let mut best: Option<(usize, f64)> = None;
        for (first, window) in windows {
            let sum: f64 = window.iter().map(need).sum();
            if best.is_none_or(|(_, known)| sum > known + f64::EPSILON) {
                best = Some((first, sum));
            }
        }
        let (first, _) = best?;
        let first = u16::try_from(first).ok()?;
        LayerRange::new(first, first + u16::try_from(length).ok()?).ok()
    }
}

/// Layers of the most needed run that an engine can hold beside the KV cache of `kv_tokens`.
pub(crate) fn fitting_layers(
    model: &PipelineModel,
    accelerator: &mgw_world::Accelerator,
    kv_tokens: f64,
) -> u16 {
    let beside = model.layers_beside_kv(accelerator, kv_tokens).floor();
    let most = model.max_layers(accelerator);
    let fitting = beside.clamp(0.0, f64::from(most));
    fitting as u16
}
