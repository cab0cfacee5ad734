//! What the targets' cache events say, kept within a fixed memory.

use mgw_contract::target::CacheEvent;
use mgw_world::{Incarnation, TargetName};

use crate::PrefixDigest;

/// What came of a batch of cache events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheNews {
    /// The events were taken in.
    Current,
    /// Events are missing; the target has to send its whole list (`resend_cache`).
    Resend,
}

/// Prefixes that targets likely hold.
#[derive(Debug, Default)]
pub struct PrefixIndex {}

impl PrefixIndex {
    /// Takes in events of a target.
    pub fn apply(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) -> CacheNews {
        let _ = (target, incarnation, events);
        CacheNews::Current
    }

    /// Blocks of the prompt that the target likely holds.
    #[must_use]
    pub fn match_blocks(&self, target: &TargetName, prefixes: &[PrefixDigest]) -> usize {
        let _ = (target, prefixes);
        0
    }
}
