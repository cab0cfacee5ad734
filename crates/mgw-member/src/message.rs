//! Messages between nodes. They are positional-codec friendly and carry ages, never timestamps.

use mgw_contract::target::{LoadReport, Readiness};
use mgw_world::{Incarnation, Limits, Millis, Target, TargetName};
use serde::{Deserialize, Serialize};

use crate::{NodeId, NodeInfo};

/// Milliseconds of one unit of [`Age`].
const AGE_UNIT_MS: u64 = 20;

/// How long ago news was current, in units of 20 ms rounded up; the greatest value is "unknown".
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Age(u8);

impl Age {
    /// Too old to be expressed.
    pub const UNKNOWN: Self = Self(u8::MAX);

    /// Rounds a span up.
    #[must_use]
    pub fn from_span(span: Millis) -> Self {
        Self(u8::try_from(span.0.div_ceil(AGE_UNIT_MS)).unwrap_or(u8::MAX))
    }

    /// The span, unless it is unknown.
    #[must_use]
    pub fn span(self) -> Option<Millis> {
        (self != Self::UNKNOWN).then(|| Millis(u64::from(self.0) * AGE_UNIT_MS))
    }
}

const REQUEST_STEPS: u64 = 31;
const KV_STEPS: u64 = 7;

/// Load of a target in one byte: five bits of requests and three of KV cache, against its limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoadLevel(u8);

impl LoadLevel {
    /// Quantises a report, rounding up.
    #[must_use]
    pub fn of(report: &LoadReport, limits: &Limits) -> Self {
        let requests = quantise(
            u64::from(report.in_flight),
            u64::from(limits.max_requests),
            REQUEST_STEPS,
        );
        let kv = quantise(report.kv_bytes_used, limits.kv_bytes, KV_STEPS);
        Self((requests << 3) | kv)
    }

    /// The report that the level stands for.
    #[must_use]
    pub fn report(self, limits: &Limits) -> LoadReport {
        let requests = u64::from(self.0 >> 3) * u64::from(limits.max_requests) / REQUEST_STEPS;
        LoadReport {
            in_flight: u32::try_from(requests).unwrap_or(u32::MAX),
            kv_bytes_used: limits.kv_bytes / KV_STEPS * u64::from(self.0 & 7),
            tokens_per_s: 0,
        }
    }
}

fn quantise(used: u64, limit: u64, steps: u64) -> u8 {
    let level = u128::from(used.min(limit)) * u128::from(steps);
    u8::try_from(level.div_ceil(u128::from(limit.max(1)))).unwrap_or(u8::MAX)
}

/// What a home says of one of its targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum VouchState {
    /// It announces itself.
    Announced(Readiness),
    /// An operator asked it to leave, or it is no longer in the inventory.
    Drained,
    /// Its lease ran out.
    Lapsed,
}

/// A target with the word of its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vouch {
    /// The target.
    pub target: Target,
    /// Sequence number of the announcement behind this.
    pub sequence: u64,
    /// What the home says of it.
    pub state: VouchState,
}

/// One difference in what a home says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// The home vouches for the target from this version on.
    Vouched(u64, Vouch),
    /// The home no longer speaks for the target from this version on.
    Released(u64, TargetName),
}

impl TargetChange {
    /// Version of the home's record that this change made.
    #[must_use]
    pub const fn version(&self) -> u64 {
        match self {
            Self::Vouched(version, _) | Self::Released(version, _) => *version,
        }
    }
}

/// Asks for the differences of one node's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Node whose record is asked for.
    pub id: NodeId,
    /// Incarnation that the asker knows.
    pub incarnation: Incarnation,
    /// Version that the asker has whole; zero for nothing.
    pub since: u64,
    /// Version up to which the asker needs no releases.
    pub releases_since: u64,
}

/// Bytes of a bucket's digest.
pub(crate) const DIGEST_BYTES: usize = 6;

/// Starts an exchange: digests of what the sender holds, and what it knows to be missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: NodeId,
    /// The sender's own incarnation and version, so that the receiver learns of it.
    pub incarnation: Incarnation,
    /// Version of the sender's own record.
    pub version: u64,
    /// Where the sender is reached.
    pub peer_address: std::net::SocketAddr,
    /// Digest of each bucket of nodes; empty when only differences are asked for.
    pub digests: Vec<[u8; DIGEST_BYTES]>,
    /// Differences asked for.
    pub wants: Vec<Want>,
}

/// One node in a bucket whose digests differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSummary {
    /// The node.
    pub id: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Version of its record.
    pub version: u64,
    /// How long ago that was current.
    pub age: Age,
    /// Load of its targets in order of name.
    pub loads: Vec<LoadLevel>,
}

/// The state of one bucket of nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BucketReply {
    /// The digests agree: ages of the bucket's nodes and loads of their targets, in order.
    Same(Vec<Age>, Vec<LoadLevel>),
    /// The digests differ.
    Different(Vec<NodeSummary>),
}

/// Differences of one node's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeDelta {
    /// The node as it describes itself.
    pub info: NodeInfo,
    /// Version from which the differences start.
    pub since: u64,
    /// Whether the asker drops what it holds first.
    pub reset: bool,
    /// Latest version that the sender holds.
    pub latest: u64,
    /// Version up to which they are whole.
    pub through: u64,
    /// Age of the record, unless the differences were cut short.
    pub age: Age,
    /// The differences in order of version.
    pub changes: Vec<TargetChange>,
}

/// Answers an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// The sender.
    pub from: NodeId,
    /// One for each digest of the exchange.
    pub buckets: Vec<BucketReply>,
    /// Differences asked for, up to the cap.
    pub deltas: Vec<NodeDelta>,
}
