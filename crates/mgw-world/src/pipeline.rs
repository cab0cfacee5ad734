//! Memory and time that a model needs on the accelerators that run it as a pipeline.

use crate::{AcceleratorKind, Millis, ModelName};

/// An accelerator, compared with the reference accelerator for which a model's times are given.
#[derive(Debug, Clone, PartialEq)]
pub struct Accelerator {
    /// Kind of accelerator.
    pub kind: AcceleratorKind,
    /// Memory for weights and KV cache.
    pub memory_bytes: u64,
    /// Time of a decoding step, as a multiple of the reference time.
    pub step_factor: f64,
    /// Time of prefill, as a multiple of the reference time.
    pub prefill_factor: f64,
}

/// A model whose layers are spread over several targets, with the times that a reference
/// accelerator needs for all layers.
#[derive(Debug, Clone, PartialEq)]
pub struct PipelineModel {
    /// Name of the model.
    pub name: ModelName,
    /// Number of layers.
    pub layers: u16,
    /// Size of the weights of one layer.
    pub layer_bytes: u64,
    /// Size of the KV cache entry of one token in one layer.
    pub kv_bytes_per_layer: f64,
    /// Time of one decoding step through all layers.
    pub step_ms: f64,
    /// Additional time of a step for each request in the batch.
    pub request_step_ms: f64,
    /// Additional time of a step for each thousand tokens of context in the batch.
    pub context_step_ms: f64,
    /// Prompt tokens processed per millisecond in prefill.
    pub prefill_tokens_per_ms: f64,
    /// Size of the activation that one token passes from one layer to the next.
    pub activation_bytes: f64,
    /// Capacity of the link between two availability zones, in bytes per millisecond.
    pub place_link_bytes_per_ms: f64,
    /// Mean length of a prompt in tokens.
    pub usual_prompt_tokens: u32,
    /// Mean length of an answer in tokens.
    pub usual_answer_tokens: u32,
    /// Time to load the weights of all layers from the weight store.
    pub load_ms: Millis,
    /// Number of concurrent loads that all run at full speed.
    pub loads_at_once: u32,
    /// Accelerators that may run the model.
    pub accelerators: Vec<Accelerator>,
}

impl PipelineModel {
    /// The accelerator of a kind, if it may run the model.
    #[must_use]
    pub fn accelerator(&self, kind: &AcceleratorKind) -> Option<&Accelerator> {
        self.accelerators
            .iter()
            .find(|accelerator| accelerator.kind == *kind)
    }

    /// Fraction of the model's layers that a number of layers is, between 0 and 1.
    #[must_use]
    pub fn share(&self, layers: u16) -> f64 {
        f64::from(layers) / f64::from(self.layers.max(1))
    }

    /// Maximum number of layers whose weights fit into an accelerator's memory.
    #[must_use]
    pub fn max_layers(&self, accelerator: &Accelerator) -> u16 {
        let fitting = accelerator.memory_bytes / self.layer_bytes.max(1);
        u16::try_from(fitting).unwrap_or(u16::MAX).min(self.layers)
    }

    /// Maximum number of layers that fit into an accelerator's memory together with their KV cache
    /// for `kv_tokens` tokens; not rounded.
    #[must_use]
    pub fn layers_beside_kv(&self, accelerator: &Accelerator, kv_tokens: f64) -> f64 {
        let layer_bytes = self.layer_bytes as f64 + self.kv_bytes_per_layer * kv_tokens;
        accelerator.memory_bytes as f64 / layer_bytes.max(1.0)
    }

    /// Capacity for KV cache that remains in an accelerator's memory after the weights of a number
    /// of layers, in tokens times layers.
    #[must_use]
    pub fn kv_token_layers(&self, accelerator: &Accelerator, layers: u16) -> f64 {
        let weight_bytes = self.layer_bytes.saturating_mul(u64::from(layers));
        let remaining_bytes = accelerator.memory_bytes.saturating_sub(weight_bytes);
        remaining_bytes as f64 / self.kv_bytes_per_layer.max(1.0)
    }
}
