//! Settings of pipelines.

use std::num::NonZeroU32;

use mgw_world::Millis;
use serde::Deserialize;

const TOKENS_PER_REBUILD: NonZeroU32 = NonZeroU32::new(64).unwrap();

/// Limits and timeouts of one request's pipeline.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PipeSettings {
    /// Most prompt positions in one step.
    pub chunk_positions: u32,
    /// Most bytes of stage inputs kept for replay, for one request.
    pub buffer_bytes: u64,
    /// Most rebuilt stages for one request, besides those that generated tokens earn.
    pub max_rebuilds: u32,
    /// Generated tokens that earn one more rebuilt stage.
    pub tokens_per_rebuild: NonZeroU32,
    /// Generated tokens between two moves away from targets that still work.
    pub move_pause_tokens: u32,
    /// Tokens that must be left to generate for such a move.
    pub min_move_tokens: u32,
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
            tokens_per_rebuild: TOKENS_PER_REBUILD,
            move_pause_tokens: 32,
            min_move_tokens: 8,
            ask_timeout_ms: Millis(250),
            transfer_timeout_ms: Millis(500),
            replace_pause_ms: Millis(100),
            replace_limit_ms: Millis(5000),
        }
    }
}
