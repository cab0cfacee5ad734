//! Calls that targets make to entries: announcements, which renew a lease and carry load reports
//! and cache events. Also the state that forwarding engines report on request.

use mgw_world::{Incarnation, LayerRange, Millis, Target, TargetName};
use serde::{Deserialize, Serialize};

/// Path of announcements: `POST` [`Announcement`], answered by [`AnnounceReply`].
pub const ANNOUNCE_PATH: &str = "/target/v1/announce";

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// The target accepts new work.
    #[display("ready")]
    Ready,
    /// The target is loading weights and accepts no work yet.
    #[display("loading")]
    Loading,
    /// The target finishes the work in flight and accepts no new work.
    #[display("leaving")]
    Leaving,
}

/// Load of a target, as the target measured it when it sent the announcement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of steps that are running or queued.
    pub in_flight: u32,
    /// Bytes of KV cache in use.
    pub kv_bytes_used: u64,
    /// Throughput over the last second, in tokens per second.
    pub tokens_per_s: u32,
}

/// A change in a target's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which grows by one with each event; a gap means that events were lost.
    pub sequence: u64,
    /// Digest of the prefix.
    pub prefix: u64,
    /// Number of tokens of the prefix.
    pub tokens: u32,
    /// True if the prefix was stored, false if it was evicted.
    pub stored: bool,
}

/// Registers a target at an entry and renews its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name, address and properties of the target.
    pub target: Target,
    /// Sequence number, which grows by one with each announcement of an incarnation.
    pub sequence: u64,
    /// Whether the target accepts new work.
    pub readiness: Readiness,
    /// Load of the target.
    pub load: LoadReport,
    /// Cache events since the last announcement that was answered.
    #[serde(default)]
    pub cache_events: Vec<CacheEvent>,
}

/// Answer to an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Target that announced itself.
    pub name: TargetName,
    /// Newest incarnation of the target that the entry has recorded. If it is newer than the
    /// announced one, the announcement was out of date.
    pub incarnation: Incarnation,
    /// Duration of the lease.
    pub lease_ms: Millis,
    /// How long the target waits before its next announcement.
    pub renew_ms: Millis,
    /// URLs of other entries, to use when this one doesn't answer.
    pub alternatives: Vec<String>,
    /// Whether the target shall leave, because an operator drains it or it is not in the inventory.
    pub drain: bool,
    /// Whether the target shall resend its complete list of cached prefixes.
    pub resend_cache: bool,
}

/// State of a forwarding engine, decoded from its reply to a [`ReportCall`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineReport {
    /// Number of orders that the engine has accepted since its start.
    pub accepted_orders: u64,
    /// Whether the engine is executing an order.
    pub is_busy: bool,
    /// Layers that the engine holds; none if it holds no layers.
    pub layers: Option<LayerRange>,
    /// Time that the engine takes for a step, divided by its usual time; 1 is normal.
    pub slowness: f64,
}

/// HTTP call that requests the state of a forwarding engine: `GET` with the given path.
#[derive(Debug, Clone, Copy)]
pub struct ReportCall {
    /// Path of the URL.
    pub path: &'static str,
    /// Decodes the body of a successful reply; the error describes what is wrong with the body.
    pub read: fn(&[u8]) -> Result<EngineReport, String>,
}
