//! Coverage of the layers of one availability zone: which layers are held, at what total speed, and
//! where a further engine helps most.

use mgw_world::{LayerRange, PipelineModel};

/// Added to the speed of each layer before its reciprocal is taken, so that the need of a layer that
/// no engine holds stays finite.
const UNCOVERED_SPEED: f64 = 0.02;

/// Total speed of the engines that hold each layer, within one zone.
#[derive(Debug, Clone)]
pub(crate) struct Coverage {
    speeds: Vec<f64>,
}

impl Coverage {
    /// Coverage of `layers` layers that no engine holds.
    pub fn new(layers: u16) -> Self {
        Self {
            speeds: vec![0.0; usize::from(layers)],
        }
    }

    /// Adds an engine that holds `range`.
    pub fn add(&mut self, range: LayerRange, speed: f64) {
        self.change(range, speed);
    }

    /// Removes an engine that holds `range`.
    pub fn remove(&mut self, range: LayerRange, speed: f64) {
        self.change(range, -speed);
    }

    fn change(&mut self, range: LayerRange, delta: f64) {
        let from = usize::from(range.first());
        let end = usize::from(range.end()).min(self.speeds.len());
        for layer_speed in self.speeds.iter_mut().take(end).skip(from) {
            *layer_speed = (*layer_speed + delta).max(0.0);
        }
    }

    /// The first contiguous range of layers that no engine holds.
    pub fn first_gap(&self) -> Option<LayerRange> {
        let is_uncovered = |speed: &f64| *speed < f64::EPSILON;
        let first = self.speeds.iter().position(is_uncovered)?;
        let length = self
            .speeds
            .iter()
            .skip(first)
            .take_while(|it| is_uncovered(it));
        let first = u16::try_from(first).ok()?;
        let end = first + u16::try_from(length.count()).ok()?;
        LayerRange::new(first, end).ok()
    }

    /// Whether every layer of a range is held by an engine.
    pub fn is_held(&self, range: LayerRange) -> bool {
        let from = usize::from(range.first());
        let end = usize::from(range.end());
        (from..end).all(|layer| self.speeds.get(layer).is_some_and(|it| *it > f64::EPSILON))
    }

    /// The range of `length` layers that needs a further holder most; the first one on a tie.
    ///
    /// The need of a layer is the reciprocal of the total speed of its holders.
    pub fn neediest_window(&self, length: u16) -> Option<LayerRange> {
        let length = usize::from(length).min(self.speeds.len());
        if length == 0 {
            return None;
        }
        let need = |speed: &f64| 1.0 / (UNCOVERED_SPEED + speed);
        let windows = self.speeds.windows(length).enumerate();
        let mut best: Option<(usize, f64)> = None;
        for (first, window) in windows {
            let sum: f64 = window.iter().map(need).sum();
            if best.is_none_or(|(_, best_sum)| sum > best_sum + f64::EPSILON) {
                best = Some((first, sum));
            }
        }
        let (first, _) = best?;
        let first = u16::try_from(first).ok()?;
        LayerRange::new(first, first + u16::try_from(length).ok()?).ok()
    }
}

/// Number of layers that fit into an engine's memory beside the KV cache of `kv_tokens` tokens.
pub(crate) fn fitting_layers(
    model: &PipelineModel,
    accelerator: &mgw_world::Accelerator,
    kv_tokens: f64,
) -> u16 {
    let beside_kv = model.layers_beside_kv(accelerator, kv_tokens).floor();
    let max_layers = model.max_layers(accelerator);
    let fitting = beside_kv.clamp(0.0, f64::from(max_layers));
    fitting as u16
}
