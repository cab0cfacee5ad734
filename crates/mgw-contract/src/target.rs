//! Calls of targets: announcements with their lease, load reports and cache events.

use mgw_world::{Incarnation, LayerRange, Millis, Target, TargetName};
use serde::{Deserialize, Serialize};

/// Path of announcements: `POST` [`Announcement`], answered by [`AnnounceReply`].
pub const ANNOUNCE_PATH: &str = "/target/v1/announce";

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// It takes new work.
    #[display("ready")]
    Ready,
    /// It loads weights.
    #[display("loading")]
    Loading,
    /// It finishes what it has and takes nothing new.
    #[display("leaving")]
    Leaving,
}

/// How busy a target is, as it saw itself some time ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Steps running or waiting.
    pub in_flight: u32,
    /// Bytes of KV cache in use.
    pub kv_bytes_used: u64,
    /// Tokens a second over the last second.
    pub tokens_per_s: u32,
}

/// A change in a target's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with each event; a gap means that events were lost.
    pub sequence: u64,
    /// Digest of the prefix.
    pub prefix: u64,
    /// Number of tokens of the prefix.
    pub tokens: u32,
    /// Whether the prefix was stored or evicted.
    pub stored: bool,
}

/// Makes a target known and renews its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The target.
    pub target: Target,
    /// Grows by one with each announcement of an incarnation.
    pub sequence: u64,
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// Its load.
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
    /// Incarnation known for it; newer than the announced one if that was out of date.
    pub incarnation: Incarnation,
    /// How long the lease runs.
    pub lease_ms: Millis,
    /// When to announce again.
    pub renew_ms: Millis,
    /// Other entries to announce to when this one doesn't answer.
    pub alternatives: Vec<String>,
    /// Whether an operator asked the target to leave.
    pub drain: bool,
    /// Whether the whole list of cached prefixes shall be sent anew.
    pub resend_cache: bool,
}

/// State of a forwarding engine, as it answers when asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineReport {
    /// Orders accepted since its start.
    pub accepted_orders: u64,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Layers held.
    pub layers: Option<LayerRange>,
    /// Factor on its usual time; 1 is usual.
    pub slowness: f64,
}

/// How forwarding engines are asked for their state: `GET` a path.
#[derive(Debug, Clone, Copy)]
pub struct ReportCall {
    /// The path.
    pub path: &'static str,
    /// Reads the body of a good answer; the error says what is wrong with it.
    pub read: fn(&[u8]) -> Result<EngineReport, String>,
}
