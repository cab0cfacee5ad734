//! Types shared by all crates of masticgw: names, identifiers, versions, the clock, and the objects
//! that operators configure or that targets announce.
//!
//! Every other crate builds on this one. Nothing here performs I/O.

mod clock;
mod hash;
mod layers;
mod names;
mod objects;
mod pipeline;
mod quarantine;
mod request;
mod versions;

pub use clock::{Clock, ManualClock, Millis, UnixMillis};
pub use hash::{EMPTY_HASH, extend_hash, hash_bytes, mix_bits};
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
pub use quarantine::{ParseDigestError, RequestDigest, Subject};
pub use request::{Attempt, ParseRequestIdError, Position, PromptPart, RequestId};
pub use versions::{FenceNumber, Incarnation, Revision, RoutingVersion};
