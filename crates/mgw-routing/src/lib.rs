//! Routes, services, workspace keys and caller limits: the part of the configuration that entries
//! consult for each request.

mod check;
mod document;
mod objects;
mod packed;
mod table;
mod transfer;

pub use check::{RoutingFinding, check_routing};
pub use document::{DecodeRouting, RoutingDocument};
pub use objects::{CallKind, CallerLimits, KeyedWorkspace, Route, RoutedService, Routing, Split};
pub use packed::{PackedRouting, UnpackError};
pub use table::{NoRoute, RouteTable};
pub use transfer::{
    AddedPart, PART_BYTES, PartPosition, PartialRouting, RoutingPart, TransferableRoutings,
};
