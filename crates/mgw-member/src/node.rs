//! What a node says of itself.

use std::net::SocketAddr;

use mgw_world::{Incarnation, NodeName, PlaceName, Revision};
use serde::{Deserialize, Serialize};

/// Short key of a node, derived from its name alike on every node.
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
    /// The key of a name.
    #[must_use]
    pub fn of(name: &NodeName) -> Self {
        Self(mix(hash_bytes(name.as_str().as_bytes())))
    }

    /// The key as a number.
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

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hashes bytes alike on every machine and in every release (FNV-1a).
pub(crate) fn hash_bytes(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Spreads the bits of a number over the whole width (the finalizer of `SplitMix64`).
pub(crate) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// What a node does.
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
    /// Serves callers and targets.
    #[display("entry")]
    Entry,
    /// Holds the durable state.
    #[display("control")]
    Control,
}

/// Whether a node takes callers.
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
    /// Its view isn't complete yet.
    #[display("starting")]
    Starting,
    /// It serves.
    #[display("serving")]
    Serving,
    /// It ends its work and takes no new callers.
    #[display("leaving")]
    Leaving,
}

/// A node as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Name of the node.
    pub name: NodeName,
    /// What it does.
    pub role: NodeRole,
    /// Zone that it stands in.
    pub place: PlaceName,
    /// Grows at each start of the node.
    pub incarnation: Incarnation,
    /// Where the other nodes reach it.
    pub peer_address: SocketAddr,
    /// Base URL for callers; empty for a control.
    pub url: String,
    /// Share of callers that it takes, relative to the other entries.
    pub weight: u32,
    /// Whether it takes callers.
    pub phase: NodePhase,
    /// Revision of the configuration in force there; zero at a control.
    pub revision: Revision,
}

impl NodeInfo {
    /// The node's short key.
    #[must_use]
    pub fn id(&self) -> NodeId {
        NodeId::of(&self.name)
    }
}
