//! A routing document as an operator sent it.

use std::sync::Arc;

use mgw_world::RoutingVersion;
use serde::{Deserialize, Serialize};

use crate::Routing;

/// Reads a document in the operator's form; the error says what is wrong with it.
pub type DecodeRouting = fn(&[u8]) -> Result<Routing, String>;

/// A document in the operator's own form, so that it can be read back unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDocument {
    /// Version given by the operator.
    pub version: RoutingVersion,
    /// The bytes that were sent.
    pub source: Arc<[u8]>,
}
