//! The objects that operators configure (zones, machines, links, models, services, workspaces) and
//! the targets that announce themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AcceleratorKind, AdapterName, Incarnation, LayerRange, ModelName, ModelVersion, PlaceName,
    RegionName, ServiceName, TargetName, VmName, WorkspaceName,
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
    /// Availability zone in which it runs.
    pub place: PlaceName,
    /// Whether it has a disk for durable state.
    #[serde(default)]
    pub has_disk: bool,
}

/// A network link between two availability zones, with the same properties in both directions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Zone at one end.
    pub from: PlaceName,
    /// Zone at the other end; equal to `from` for the links inside a zone.
    pub to: PlaceName,
    /// One-way latency in microseconds.
    pub latency_us: u32,
    /// Capacity in bytes per second.
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
    /// Size of the activation that one token passes from one layer to the next.
    pub activation_bytes: u32,
    /// Size of the KV cache entry of one token in one layer.
    pub kv_bytes_per_layer: u32,
}

/// The kind of calls that a service accepts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Completions by a model whose layers are spread over several engines.
    Model(ModelName),
    /// Calls that are passed through to a plain service.
    Plain {
        /// Path prefixes whose calls must run at most once and need an idempotency key.
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
    /// Kind of calls that it accepts.
    pub kind: ServiceKind,
}

/// A customer's workspace and its share of the capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Weight of the workspace's share of the capacity, relative to those of the other workspaces.
    pub weight: u32,
    /// Priority passed on to engines; requests with a higher one run first.
    #[serde(default)]
    pub priority: u8,
}

/// The model, layers and hardware of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Model to which the layers belong.
    pub model: ModelName,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Adapter that is loaded in addition to the weights.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// Layers whose weights are loaded.
    pub layers: LayerRange,
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
}

/// An engine that forwards tokens directly to the next engine, along a chain that each request
/// specifies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardingEngine {
    /// Service whose calls it serves.
    pub service: ServiceName,
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
    /// Layers whose weights are loaded; `None` until then.
    pub layers: Option<LayerRange>,
}

/// What a target runs: a layer range, a plain service, or a layer range with forwarding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// Runs a range of layers.
    Engine(Engine),
    /// Serves the calls of a plain service.
    Plain {
        /// Service whose calls it serves.
        service: ServiceName,
    },
    /// Runs a range of layers and forwards tokens directly to the next engine.
    Forwarding(ForwardingEngine),
}

/// Limits that a target announces for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of concurrent requests.
    pub max_requests: u32,
    /// Capacity for KV cache.
    pub kv_bytes: u64,
    /// Tokens per second through its whole layer range, at full batch.
    pub tokens_per_s: u32,
}

/// A back end as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the target.
    pub name: TargetName,
    /// Increases at each start of the target.
    pub incarnation: Incarnation,
    /// Machine that it runs on.
    pub vm: VmName,
    /// Availability zone of that machine.
    pub place: PlaceName,
    /// Address at which it takes calls.
    pub address: SocketAddr,
    /// What it runs; written as `duty`.
    pub duty: TargetKind,
    /// Limits that the target announced.
    pub limits: Limits,
}

impl Target {
    /// The description of the engine, if the target runs layers without forwarding.
    #[must_use]
    pub const fn engine(&self) -> Option<&Engine> {
        match &self.duty {
            TargetKind::Engine(engine) => Some(engine),
            TargetKind::Plain { .. } | TargetKind::Forwarding(_) => None,
        }
    }

    /// The service that the target serves: for an instance of a plain service and for a forwarding
    /// engine.
    #[must_use]
    pub const fn service(&self) -> Option<&ServiceName> {
        match &self.duty {
            TargetKind::Plain { service } => Some(service),
            TargetKind::Forwarding(engine) => Some(&engine.service),
            TargetKind::Engine(_) => None,
        }
    }

    /// The description of the engine, if the target forwards tokens.
    #[must_use]
    pub const fn forwarding(&self) -> Option<&ForwardingEngine> {
        match &self.duty {
            TargetKind::Forwarding(engine) => Some(engine),
            TargetKind::Engine(_) | TargetKind::Plain { .. } => None,
        }
    }
}
