//! Data types for a path: the chain of targets that one request runs through.

use std::net::SocketAddr;

use mgw_world::{
    AdapterName, Incarnation, LayerRange, ModelName, ModelVersion, TargetName, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::PrefixDigest;

slotmap::new_key_type! {
    /// Identifies the reservation of a path within one router.
    pub struct ReservationKey;
}

/// One stage of a path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// Target that runs the layers of this stage.
    pub target: TargetName,
    /// Incarnation that the target had when it was chosen.
    pub incarnation: Incarnation,
    /// Address where the target accepts calls.
    pub address: SocketAddr,
    /// Layers that the target runs.
    pub layers: LayerRange,
}

/// A chain of stages that covers every layer of a model exactly once, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Path {
    /// Model whose layers the path covers.
    pub model: ModelName,
    /// Version of the weights, the same at every stage.
    pub version: ModelVersion,
    /// Adapter, the same at every stage.
    pub adapter: Option<AdapterName>,
    /// Stages in the order of their layers.
    pub stages: Vec<Stage>,
    /// Key of the capacity reserved for this path; `Router::release` frees it.
    pub reservation: ReservationKey,
}

impl Path {
    /// Whether the stages cover the layers `0..layers` exactly once, without gaps or overlaps.
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

/// The requirements for choosing a path.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PathRequest {
    /// Model to run.
    pub model: ModelName,
    /// Version that every stage must serve.
    pub version: ModelVersion,
    /// Adapter that every stage must serve, if any.
    pub adapter: Option<AdapterName>,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Digests of the prompt's prefixes, shortest first; empty to choose without cache affinity.
    pub prefixes: Vec<PrefixDigest>,
    /// Tokens of prompt and answer together; KV memory for this many is reserved at each stage.
    pub tokens: u32,
}
