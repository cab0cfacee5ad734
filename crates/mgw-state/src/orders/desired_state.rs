//! What the configuration wants each engine to hold.

use mgw_contract::engine::{EngineOrder, EngineState};
use mgw_world::{AdapterName, FenceNumber, LayerRange, ModelName, ModelVersion, TargetName};

use crate::{ExpectedDuty, ExpectedTarget, Inventory};

/// What one engine shall hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredEngineState {
    /// The engine.
    pub target: TargetName,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fence: bool,
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: ModelVersion,
    /// Adapter.
    pub adapter: Option<AdapterName>,
    /// Layers.
    pub layers: LayerRange,
    /// Bytes that the weight store sends for them.
    pub weight_bytes: u64,
}

impl DesiredEngineState {
    /// Whether the engine says that it holds all of this and isn't loading.
    #[must_use]
    pub fn is_met_by(&self, state: &EngineState) -> bool {
        !state.loading && self.has_weights(state) && state.adapter == self.adapter
    }

    /// Bytes that the weight store has to send.
    #[must_use]
    pub fn missing_bytes(&self, state: &EngineState) -> u64 {
        if self.has_weights(state) {
            0
        } else {
            self.weight_bytes
        }
    }

    fn has_weights(&self, state: &EngineState) -> bool {
        state.model == self.model && state.version == self.version && state.layers == self.layers
    }

    pub(super) fn to_order(&self, fence: FenceNumber, sequence: u64) -> EngineOrder {
        EngineOrder {
            target: self.target.clone(),
            fence,
            sequence,
            model: self.model.clone(),
            version: self.version.clone(),
            adapter: self.adapter.clone(),
            layers: self.layers,
        }
    }
}

/// Lists what the expected engines shall hold, in the order of their names.
#[must_use]
pub fn list_desired_states(inventory: &Inventory) -> Vec<DesiredEngineState> {
    let targets = inventory.targets.iter();
    targets
        .filter_map(|target| to_wanted(inventory, target))
        .collect()
}

fn to_wanted(inventory: &Inventory, target: &ExpectedTarget) -> Option<DesiredEngineState> {
    let ExpectedDuty::Engine(holding) = &target.duty else {
        return None;
    };
    let model = inventory.model(&holding.model)?;
    let version = holding.version.as_ref().unwrap_or(&model.version);
    Some(DesiredEngineState {
        target: target.name.clone(),
        checks_fence: target.checks_fence,
        model: holding.model.clone(),
        version: version.clone(),
        adapter: holding.adapter.clone(),
        layers: holding.layers,
        weight_bytes: holding.weight_bytes,
    })
}
