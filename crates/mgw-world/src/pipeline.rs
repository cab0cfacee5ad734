//! What a model costs on the accelerators that run it as a pipeline.

use crate::{AcceleratorKind, Millis, ModelName};

/// How an accelerator compares with the one that a model's times are given for.
#[derive(Debug, Clone, PartialEq)]
pub struct Accelerator {
    /// Kind of accelerator.
    pub kind: AcceleratorKind,
    /// Memory for weights and KV cache.
    pub memory_bytes: u64,
    /// Factor on the time of a decoding step.
    pub step_factor: f64,
    /// Factor on the time of prefill.
    pub prefill_factor: f64,
}

/// A model whose layers are spread over several targets, with the times of a reference accelerator
/// that holds all of them.
#[derive(Debug, Clone, PartialEq)]
pub struct PipelineModel {
    /// Name of the model.
    pub name: ModelName,
    /// Number of layers.
    pub layers: u16,
    /// Weights of one layer.
    pub layer_bytes: u64,
    /// KV cache of one token in one layer.
    pub kv_bytes_per_layer: f64,
    /// Time of one decoding step of all layers.
    pub step_ms: f64,
    /// Further time of a step for each request in the batch.
    pub request_step_ms: f64,
    /// Further time of a step for each thousand tokens of context in the batch.
    pub context_step_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Activation of one token between two layers.
    pub activation_bytes: f64,
    /// Capacity of the link between two availability zones, in bytes a millisecond.
    pub place_link_bytes_per_ms: f64,
    /// Mean length of a prompt in tokens.
    pub usual_prompt_tokens: u32,
    /// Mean length of an answer in tokens.
    pub usual_answer_tokens: u32,
    /// Time to load all layers from the weight store.
    pub load_ms: Millis,
    /// Loads that run at full speed at the same time.
    pub loads_at_once: u32,
    /// Kinds of accelerators that may run it.
    pub accelerators: Vec<Accelerator>,
}

impl PipelineModel {
    /// The accelerator of a kind.
    #[must_use]
    pub fn accelerator(&self, kind: &AcceleratorKind) -> Option<&Accelerator> {
        self.accelerators.iter().find(|known| known.kind == *kind)
    }

    /// Part of the model that a number of layers is, between 0 and 1.
    #[must_use]
    pub fn share(&self, layers: u16) -> f64 {
        f64::from(layers) / f64::from(self.layers.max(1))
    }

    /// Most layers that fit into an accelerator's memory.
    #[must_use]
    pub fn max_layers(&self, accelerator: &Accelerator) -> u16 {
        let fitting = accelerator.memory_bytes / self.layer_bytes.max(1);
        u16::try_from(fitting).unwrap_or(u16::MAX).min(self.layers)
    }

    /// Most layers that leave room for the KV cache of a number of tokens.
    #[must_use]
    pub fn layers_beside_kv(&self, accelerator: &Accelerator, kv_tokens: f64) -> f64 {
        let layer_bytes = self.layer_bytes as f64 + self.kv_bytes_per_layer * kv_tokens;
        accelerator.memory_bytes as f64 / layer_bytes.max(1.0)
    }

    /// Room for KV cache beside a number of layers, in tokens of one layer.
    #[must_use]
    pub fn kv_token_layers(&self, accelerator: &Accelerator, layers: u16) -> f64 {
        let weights = self.layer_bytes.saturating_mul(u64::from(layers));
        let left = accelerator.memory_bytes.saturating_sub(weights);
        left as f64 / self.kv_bytes_per_layer.max(1.0)
    }
}
