//! The objects of the operators' world: places, machines, links, services, workspaces, targets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AcceleratorKind, AdapterName, Incarnation, LayerRange, Millis, ModelName, ModelVersion,
    PlaceName, RegionName, ServiceName, TargetName, VmName, WorkspaceName,
};

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name of the zone.
    pub name: PlaceName,
    /// Region that it belongs to.
    pub region: RegionName,
}

/// A machine from the operator's asset register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name of the machine.
    pub name: VmName,
    /// Zone that it stands in.
    pub place: PlaceName,
    /// Whether it has a disk for durable state.
    #[serde(default)]
    pub has_disk: bool,
}

/// A network link between two places, the same in both directions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One end.
    pub from: PlaceName,
    /// The other end; the same as `from` for the links inside a place.
    pub to: PlaceName,
    /// One-way latency in microseconds.
    pub latency_us: u32,
    /// Capacity in bytes a second.
    pub bytes_per_s: u64,
}

/// A model that the system serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: ModelName,
    /// Version that new requests use.
    pub version: ModelVersion,
    /// Number of layers.
    pub layers: u16,
    /// Bytes of one token's activation between two layers.
    pub activation_bytes: u32,
    /// Bytes of KV cache that one token takes in one layer.
    pub kv_bytes_per_layer: u32,
}

/// What kind of calls a service takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Completions by a model that is spread over engines.
    Model(ModelName),
    /// Calls that are passed through to a plain service.
    Plain {
        /// Path prefixes whose calls run at most once and need an idempotency key.
        #[serde(default)]
        once_paths: Vec<String>,
    },
}

/// A service that callers address by name.
///
/// In TOML: `kind = { model = "drill" }` or `kind = { plain = { once_paths = ["/issue"] } }`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Kind of calls.
    pub kind: ServiceKind,
}

/// A customer's workspace and its contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Share of the capacity relative to the other workspaces' weights.
    pub weight: u32,
    /// Priority passed on to engines; higher goes first.
    #[serde(default)]
    pub priority: u8,
}

/// What an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Model that the layers belong to.
    pub model: ModelName,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Adapter loaded beside them.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// Layers held.
    pub layers: LayerRange,
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
}

/// An engine that passes a token on to the next engine by itself, along a chain that each request
/// names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardingEngine {
    /// Service answered for.
    pub service: ServiceName,
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
    /// Layers held; none until weights were loaded.
    pub layers: Option<LayerRange>,
}

/// What a target runs: a layer range, a plain service, or a layer range with forwarding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// Runs a range of layers.
    Engine(Engine),
    /// Answers the calls of a plain service.
    Plain {
        /// Service answered for.
        service: ServiceName,
    },
    /// Runs a range of layers and passes tokens on by itself.
    Forwarding(ForwardingEngine),
}

/// Limits that a target states for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Most requests at once.
    pub max_requests: u32,
    /// Bytes of KV cache.
    pub kv_bytes: u64,
    /// Tokens a second through the whole layer range, at full batch.
    pub tokens_per_s: u32,
}

/// A back end as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the target.
    pub name: TargetName,
    /// Grows at each start of the target.
    pub incarnation: Incarnation,
    /// Machine that it runs on.
    pub vm: VmName,
    /// Zone of that machine.
    pub place: PlaceName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// What it runs; written as `duty`.
    pub duty: TargetKind,
    /// Limits stated by the target.
    pub limits: Limits,
}

impl Target {
    /// The engine part, for a target that runs layers.
    #[must_use]
    pub const fn engine(&self) -> Option<&Engine> {
        match &self.duty {
            TargetKind::Engine(engine) => Some(engine),
            TargetKind::Plain { .. } | TargetKind::Forwarding(_) => None,
        }
    }

    /// The service that this target answers for by itself, if it does.
    #[must_use]
    pub const fn service(&self) -> Option<&ServiceName> {
        match &self.duty {
            TargetKind::Plain { service } => Some(service),
            TargetKind::Forwarding(engine) => Some(&engine.service),
            TargetKind::Engine(_) => None,
        }
    }

    /// The engine part, for a target that passes tokens on by itself.
    #[must_use]
    pub const fn forwarding(&self) -> Option<&ForwardingEngine> {
        match &self.duty {
            TargetKind::Forwarding(engine) => Some(engine),
            TargetKind::Engine(_) | TargetKind::Plain { .. } => None,
        }
    }

    /// Shortest time that one token spends here at full batch.
    #[must_use]
    pub fn token_time(&self) -> Millis {
        Millis(1000 / u64::from(self.limits.tokens_per_s.max(1)))
    }
}
