//! The graph of one model version: targets grouped by layers and place.

use std::sync::Arc;

use mgw_world::{LayerRange, Link, Model, Target};

/// A target that may be chosen.
#[derive(Debug, Clone)]
pub struct GraphTarget {
    /// The target.
    pub target: Arc<Target>,
    /// Part of its capacity that may be used, from 0 to 1, while it warms up.
    pub warm_share: f64,
}

/// Targets of one model version and the links between their places.
#[derive(Debug, Clone, Default)]
pub struct Graph {
    layers: u16,
}

impl Graph {
    /// Builds the graph of a model from the targets that hold its version and adapter.
    ///
    /// Between two places without a link in `links` nothing flows; inside a place without one
    /// the capacity is unlimited.
    #[must_use]
    pub fn build(model: &Model, targets: &[GraphTarget], links: &[Link]) -> Self {
        let _ = (targets, links);
        Self {
            layers: model.layers,
        }
    }

    /// The whole range of layers.
    #[must_use]
    pub fn whole(&self) -> Option<LayerRange> {
        LayerRange::new(0, self.layers).ok()
    }
}
