//! Messages between nodes. They are encoded by position (`postcard`), so the order of fields and
//! variants is part of the format. They carry ages and no timestamps, since clocks differ.

use mgw_contract::target::{LoadReport, Readiness};
use mgw_world::{Incarnation, Limits, Millis, Target, TargetName};
use serde::{Deserialize, Serialize};

use crate::{NodeId, NodeInfo};

/// Resolution of [`Age`].
const AGE_UNIT_MS: u64 = 20;

/// How long ago a record was last confirmed as current, in units of 20 ms rounded up; the maximum
/// value stands for "unknown".
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Age(u8);

impl Age {
    /// The age is unknown, or greater than an `Age` can express.
    pub const UNKNOWN: Self = Self(u8::MAX);

    /// Converts a time span, rounding up; a span that is too long becomes [`Self::UNKNOWN`].
    #[must_use]
    pub fn from_span(span: Millis) -> Self {
        Self(u8::try_from(span.0.div_ceil(AGE_UNIT_MS)).unwrap_or(u8::MAX))
    }

    /// The age as a time span; `None` if it is unknown.
    #[must_use]
    pub fn span(self) -> Option<Millis> {
        (self != Self::UNKNOWN).then(|| Millis(u64::from(self.0) * AGE_UNIT_MS))
    }
}

/// Levels above zero that the five bits of in-flight requests can express.
const REQUEST_STEPS: u64 = 31;
/// Levels above zero that the three bits of KV cache can express.
const KV_STEPS: u64 = 7;

/// Load of a target in one byte, relative to its limits: five bits for in-flight requests and three
/// bits for KV cache.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoadLevel(u8);

impl LoadLevel {
    /// Quantises a load report, rounding up.
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

    /// Converts the level back into a load report; `tokens_per_s` is not transmitted and is zero.
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

/// State of a target as published by its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum VouchState {
    /// The target has a valid lease and announced this readiness.
    Announced(Readiness),
    /// An operator drains the target, or it is no longer in the inventory.
    Drained,
    /// The target's lease expired.
    Lapsed,
}

/// A target as its home publishes it. By this entry in its own record the home vouches that the
/// target announced itself there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vouch {
    /// Description that the target announced.
    pub target: Target,
    /// Sequence number of the announcement that this is based on.
    pub sequence: u64,
    /// State that the home publishes.
    pub state: VouchState,
}

/// One change in a home's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// From this version on, the home vouches for the target with this content.
    Vouched(u64, Vouch),
    /// From this version on, the home no longer vouches for the target.
    Released(u64, TargetName),
}

impl TargetChange {
    /// Version of the home's record that this change produced.
    #[must_use]
    pub const fn version(&self) -> u64 {
        match self {
            Self::Vouched(version, _) | Self::Released(version, _) => *version,
        }
    }
}

/// Requests the changes of one node's record since a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Node whose record is requested.
    pub id: NodeId,
    /// Incarnation that the requester knows; zero if it knows none.
    pub incarnation: Incarnation,
    /// Version up to which the requester has the whole record; zero if it has nothing.
    pub since: u64,
    /// Version up to which the requester needs no releases.
    pub releases_since: u64,
}

/// Length of a bucket's digest.
pub(crate) const DIGEST_BYTES: usize = 6;

/// Request that starts an anti-entropy exchange: digests of the records that the sender holds, and
/// the records that it knows to be missing or outdated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Node that sends the exchange.
    pub from: NodeId,
    /// Incarnation of the sender; with `version` it shows the receiver whether its copy of the
    /// sender's record is outdated.
    pub incarnation: Incarnation,
    /// Version of the sender's own record.
    pub version: u64,
    /// Address at which other nodes reach the sender.
    pub peer_address: std::net::SocketAddr,
    /// Digest of each bucket of nodes; empty when only changes are requested.
    pub digests: Vec<[u8; DIGEST_BYTES]>,
    /// Records whose changes are requested.
    pub wants: Vec<Want>,
}

/// Summary of one node's record, sent for a bucket whose digests differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSummary {
    /// Node that the record describes.
    pub id: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Version of the node's record.
    pub version: u64,
    /// How long ago the record was confirmed as current.
    pub age: Age,
    /// Load of the node's targets in order of name.
    pub loads: Vec<LoadLevel>,
}

/// Reply to the digest of one bucket of nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BucketReply {
    /// The digests agree: ages of the bucket's records, and loads of their targets, in order of
    /// node id and target name.
    Same(Vec<Age>, Vec<LoadLevel>),
    /// The digests differ: summaries of all records in the bucket.
    Different(Vec<NodeSummary>),
}

/// Changes of one node's record since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeDelta {
    /// The node as it describes itself.
    pub info: NodeInfo,
    /// Version after which the changes start.
    pub since: u64,
    /// Whether the receiver must discard its copy of the record first.
    pub reset: bool,
    /// Latest version of the record that the sender holds.
    pub latest: u64,
    /// Version up to which the changes are complete; below `latest` if the delta was truncated.
    pub through: u64,
    /// Age of the record; unknown if the delta was truncated.
    pub age: Age,
    /// The changes in order of version.
    pub changes: Vec<TargetChange>,
}

/// Reply to an [`Exchange`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Node that sends the reply.
    pub from: NodeId,
    /// One reply for each digest of the exchange.
    pub buckets: Vec<BucketReply>,
    /// Deltas of the requested records, up to the size limit of a reply.
    pub deltas: Vec<NodeDelta>,
}
