//! The error returned when no path can be chosen.

use mgw_world::{LayerRange, Millis, ModelName, ModelVersion};

/// The reason why no path could be chosen.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum NoPath {
    /// model {model} isn't configured here; check the name or wait for the configuration
    UnknownModel {
        /// Requested model.
        model: ModelName,
    },
    /// no chain of targets covers layers {layers} of model {model} in version {version}; add targets
    NotCovered {
        /// Requested model.
        model: ModelName,
        /// Requested version.
        version: ModelVersion,
        /// Layers that no chain of targets covers.
        layers: LayerRange,
    },
    /// every target for layers {layers} of model {model} is full; retry after {retry_after_ms}
    Full {
        /// Requested model.
        model: ModelName,
        /// Layers whose targets are all full.
        layers: LayerRange,
        /// How long to wait before a retry.
        retry_after_ms: Millis,
    },
    /// layers {layers} don't match whole stages of the path; pass the range of one or more stages
    NotInPath {
        /// Requested layers.
        layers: LayerRange,
    },
}
