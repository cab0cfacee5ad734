//! Settings of pipelines.

use mgw_world::Millis;
use serde::Deserialize;

/// Limits and timeouts of one request's pipeline.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PipeSettings {
    /// Most prompt positions in one step.
    pub chunk_positions: u32,
    /// Most bytes of stage inputs kept for replay, for one request.
    pub buffer_bytes: u64,
    /// Most rebuilt stages for one request.
    pub max_rebuilds: u32,
    /// Timeout of a question for a session's standing.
    pub ask_timeout_ms: Millis,
    /// Timeout of an export or import of a KV cache.
    pub transfer_timeout_ms: Millis,
    /// Pause before a replacement is looked for again.
    pub replace_pause_ms: Millis,
    /// How long a replacement is looked for.
    pub replace_limit_ms: Millis,
}

impl Default for PipeSettings {
    fn default() -> Self {
        Self {
            chunk_positions: 256,
            buffer_bytes: 16 * 1024 * 1024,
            max_rebuilds: 8,
            ask_timeout_ms: Millis(250),
            transfer_timeout_ms: Millis(500),
            replace_pause_ms: Millis(100),
            replace_limit_ms: Millis(5000),
        }
    }
}
