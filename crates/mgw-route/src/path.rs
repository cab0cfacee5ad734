//! A path: the chain of targets that one request runs through, as plain data.

use std::net::SocketAddr;

use mgw_world::{
    AdapterName, Incarnation, LayerRange, ModelName, ModelVersion, TargetName, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::PrefixDigest;

slotmap::new_key_type! {
    /// Names what a path holds reserved at one router.
    pub struct ReservationKey;
}

/// One stage of a path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// Target that runs the layers.
    pub target: TargetName,
    /// Incarnation of the target when it was chosen.
    pub incarnation: Incarnation,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Layers that it runs.
    pub layers: LayerRange,
}

/// A chain of stages that covers every layer of a model exactly once, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Path {
    /// Model.
    pub model: ModelName,
    /// Version of the weights, the same at every stage.
    pub version: ModelVersion,
    /// Adapter, the same at every stage.
    pub adapter: Option<AdapterName>,
    /// Stages in the order of their layers.
    pub stages: Vec<Stage>,
    /// What the path holds reserved; given back by `Router::release`.
    pub reservation: ReservationKey,
}

impl Path {
    /// Whether the stages cover the layers `0..layers` once, without gap or overlap.
    #[must_use]
    pub fn covers(&self, layers: u16) -> bool {
        let mut next = 0;
        for stage in &self.stages {
            if stage.layers.first() != next {
                return false;
            }
            next = stage.layers.end();
        }
        next == layers
    }
}

/// What a path is chosen for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PathRequest {
    /// Model.
    pub model: ModelName,
    /// Version that every stage must have.
    pub version: ModelVersion,
    /// Adapter that every stage must have.
    pub adapter: Option<AdapterName>,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Digests of the prompt's prefixes, shortest first; empty without affinity.
    pub prefixes: Vec<PrefixDigest>,
    /// Tokens of prompt and answer together, for which KV memory is reserved at each stage.
    pub tokens: u32,
}
