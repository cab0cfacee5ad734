//! Settings of pipelines.

use std::num::NonZeroU32;

use mgw_world::Millis;
use serde::Deserialize;

const TOKENS_PER_REBUILD: NonZeroU32 = NonZeroU32::new(64).unwrap();

/// Limits and timeouts of one request's pipeline.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PipeSettings {
    /// Maximum number of prompt positions in one step.
    pub chunk_positions: u32,
    /// Maximum size of the stage inputs that one request buffers for replay.
    pub buffer_bytes: u64,
    /// Stages that may be rebuilt for one request, in addition to those allowed by
    /// `tokens_per_rebuild`.
    pub max_rebuilds: u32,
    /// Number of generated tokens that allows the rebuild of one more stage.
    pub tokens_per_rebuild: NonZeroU32,
    /// Minimum number of generated tokens between two moves away from degraded targets that still
    /// work.
    pub move_pause_tokens: u32,
    /// Minimum number of tokens still to be generated for such a move.
    pub min_move_tokens: u32,
    /// Timeout of a query for the state of a session.
    pub ask_timeout_ms: Millis,
    /// Timeout of the export or the import of a KV cache.
    pub transfer_timeout_ms: Millis,
    /// Interval between two searches for a replacement of a lost stage.
    pub replace_pause_ms: Millis,
    /// How long a replacement is searched for before the request fails.
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
