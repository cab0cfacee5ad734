//! Identity and self-description of a node.

use std::net::SocketAddr;

use mgw_world::{Incarnation, NodeName, PlaceName, Revision, hash_bytes, mix_bits};
use serde::{Deserialize, Serialize};

/// Short id of a node: a hash of its name that is the same on every node.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(from = "[u8; 8]", into = "[u8; 8]")]
#[display("{_0:016x}")]
pub struct NodeId(u64);

impl NodeId {
    /// Derives the id from a node's name.
    #[must_use]
    pub fn of(name: &NodeName) -> Self {
        Self(mix_bits(hash_bytes(name.as_str().bytes())))
    }

    /// The id as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl From<[u8; 8]> for NodeId {
    fn from(bytes: [u8; 8]) -> Self {
        Self(u64::from_le_bytes(bytes))
    }
}

impl From<NodeId> for [u8; 8] {
    fn from(id: NodeId) -> Self {
        id.0.to_le_bytes()
    }
}

/// Role of a node.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Serves callers, and targets that announce themselves.
    #[display("entry")]
    Entry,
    /// Holds the durable state.
    #[display("control")]
    Control,
}

/// Life cycle phase of a node, which decides whether it accepts callers.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum NodePhase {
    /// The node's view isn't complete yet.
    #[display("starting")]
    Starting,
    /// The node accepts callers.
    #[display("serving")]
    Serving,
    /// The node finishes its work and is no longer given to callers.
    #[display("leaving")]
    Leaving,
}

/// Description of a node, published in its own record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Name of the node.
    pub name: NodeName,
    /// Role of the node.
    pub role: NodeRole,
    /// Availability zone of the node.
    pub place: PlaceName,
    /// Grows at each start of the node.
    pub incarnation: Incarnation,
    /// Address at which the other nodes reach it.
    pub peer_address: SocketAddr,
    /// Base URL for callers; empty for a control node.
    pub url: String,
    /// Weight in the distribution of callers, relative to the other entries.
    pub weight: u32,
    /// Life cycle phase of the node.
    pub phase: NodePhase,
    /// Revision of the configuration in force on the node; zero on a control node.
    pub revision: Revision,
}

impl NodeInfo {
    /// The node's id.
    #[must_use]
    pub fn id(&self) -> NodeId {
        NodeId::of(&self.name)
    }
}
