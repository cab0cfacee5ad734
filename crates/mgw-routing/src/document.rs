//! A routing document in the bytes that the operator sent.

use std::sync::Arc;

use mgw_world::RoutingVersion;
use serde::{Deserialize, Serialize};

use crate::Routing;

/// Decodes a document from the operator's format; the error says what is wrong with it.
pub type DecodeRouting = fn(&[u8]) -> Result<Routing, String>;

/// A document in the operator's own format, so that the operator can read it back unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDocument {
    /// Version that the operator assigned.
    pub version: RoutingVersion,
    /// The document's bytes as the operator sent them.
    pub source: Arc<[u8]>,
}
