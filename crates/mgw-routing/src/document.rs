//! A routing document as an operator sent it.

use std::sync::Arc;

use mgw_world::RoutingVersion;
use serde::{Deserialize, Serialize};

/// A document in the operator's own form, so that it can be read back unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDocument {
    /// Version given by the operator.
    pub version: RoutingVersion,
    /// The bytes that were sent.
    pub source: Arc<[u8]>,
}
