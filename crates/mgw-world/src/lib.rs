//! Shared types of masticgw: names, keys, the clock and the objects of the operators' world.
//!
//! Every other crate builds on this one. Nothing here performs I/O.

mod clock;
mod fence;
mod layers;
mod names;
mod objects;
mod pipeline;
mod request;

pub use clock::{Clock, ManualClock, Millis, UnixMillis};
pub use fence::{FenceNumber, Incarnation, Revision, RoutingVersion};
pub use layers::{LayerRange, LayerRangeError};
pub use names::{
    AcceleratorKind, AdapterName, EntryName, KeyName, ModelName, ModelVersion, NodeName,
    OperatorName, PlaceName, RegionName, ServiceName, TargetName, VmName, WorkspaceName,
};
pub use objects::{
    Engine, ForwardingEngine, Limits, Link, Model, Place, Service, ServiceKind, Target, TargetKind,
    Vm, Workspace,
};
pub use pipeline::{Accelerator, PipelineModel};
pub use request::{Attempt, ParseRequestIdError, Position, RequestId};
