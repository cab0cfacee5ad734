//! The desired state of each engine according to the configuration.

use mgw_contract::engine::{EngineOrder, EngineState};
use mgw_world::{AdapterName, FenceNumber, LayerRange, ModelName, ModelVersion, TargetName};

use crate::{ExpectedDuty, ExpectedTarget, Inventory};

/// The desired state of one engine: the weights and the adapter that it is to have loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredEngineState {
    /// Target name of the engine.
    pub target: TargetName,
    /// Whether the engine refuses orders that carry an old fencing number.
    pub checks_fence: bool,
    /// Model whose layers it is to run.
    pub model: ModelName,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Adapter to load with the weights, if any.
    pub adapter: Option<AdapterName>,
    /// Layers to load.
    pub layers: LayerRange,
    /// Bytes that the weight store sends for these layers.
    pub weight_bytes: u64,
}

impl DesiredEngineState {
    /// Whether the reported state is the desired one and the engine isn't loading.
    #[must_use]
    pub fn is_met_by(&self, state: &EngineState) -> bool {
        !state.loading && self.has_weights(state) && state.adapter == self.adapter
    }

    /// Bytes that the weight store has to send to an engine in the reported state: all, or none if
    /// the engine has the weights.
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

/// Lists the desired states of all expected engines, ordered by name as the inventory's targets
/// are.
#[must_use]
pub fn list_desired_states(inventory: &Inventory) -> Vec<DesiredEngineState> {
    let targets = inventory.targets.iter();
    targets
        .filter_map(|target| to_desired_state(inventory, target))
        .collect()
}

fn to_desired_state(inventory: &Inventory, target: &ExpectedTarget) -> Option<DesiredEngineState> {
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
