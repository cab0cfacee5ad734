//! Why no path was chosen.

use mgw_world::{LayerRange, Millis, ModelName, ModelVersion};

/// Why no path was chosen.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum NoPath {
    /// model {model} is unknown here; wait for the configuration or correct the name
    UnknownModel {
        /// Model asked for.
        model: ModelName,
    },
    /// no chain of targets covers layers {layers} of model {model} in version {version}; add targets
    NotCovered {
        /// Model asked for.
        model: ModelName,
        /// Version asked for.
        version: ModelVersion,
        /// Layers that can't be covered.
        layers: LayerRange,
    },
    /// every target for layers {layers} of model {model} is full; come back in {retry_after_ms}
    Full {
        /// Model asked for.
        model: ModelName,
        /// Layers whose targets are all full.
        layers: LayerRange,
        /// When to come back.
        retry_after_ms: Millis,
    },
    /// layers {layers} aren't whole stages of the path; ask for the range of one or more stages
    NotInPath {
        /// Layers asked for.
        layers: LayerRange,
    },
}
