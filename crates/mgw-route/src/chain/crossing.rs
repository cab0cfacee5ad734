//! How often requests may take chains across zones.
//!
//! Load pattern: targets are lost and what is left of each zone is full, so many entries find chains
//! only across zones, all at once. Their activations queue on the links between zones, one transfer
//! after another, until nothing that crosses brings a token in the time that callers bear.

use mgw_world::{Millis, PipelineModel};

use super::cost::Work;

/// Part of the link between zones that chains may load.
const LINK_PART: f64 = 0.75;
/// Time without a chain across zones after which an entry begins anew.
const IDLE_MS: Millis = Millis(5_000);
/// Crossings of all entries at once after a time without any.
const FIRST_CROSSINGS: f64 = 8.0;
/// Most crossings saved up.
const MAX_SAVED: f64 = 1.0;

/// One entry's part of the link between zones.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CrossingBudget {
    saved: f64,
    asked_at: Option<Millis>,
}

impl CrossingBudget {
    /// Whether a chain across zones may be taken now by one of `entries`. What is saved grows only
    /// while such chains are asked for: were it saved up before, all entries would cross at once.
    pub fn allows(&mut self, model: &PipelineModel, work: Work, entries: u32, now: Millis) -> bool {
        let bytes = work.kv_tokens() * model.activation_bytes;
        let per_ms = LINK_PART * model.place_link_bytes_per_ms / bytes.max(f64::MIN_POSITIVE);
        let own_per_ms = per_ms / f64::from(entries.max(1));
        self.saved = match self.asked_at {
            Some(at) if now - at <= IDLE_MS => self.saved + own_per_ms * (now - at).0 as f64,
            _ => first_part(entries, now),
        };
        self.saved = self.saved.min(MAX_SAVED);
        self.asked_at = Some(now);
        self.saved >= MAX_SAVED
    }

    /// Takes the crossings of a chain.
    pub fn take(&mut self, crossings: usize) {
        self.saved -= crossings as f64;
    }
}

/// What an entry begins with: a few of all entries cross at once, the others follow one by one. The
/// clocks of entries start at different times, which spreads them.
fn first_part(entries: u32, now: Millis) -> f64 {
    /// Odd number near the golden section of 32 bits, which scatters near times.
    const SCATTER: u64 = 2_654_435_769;
    let scattered = now.0.wrapping_mul(SCATTER) & u64::from(u32::MAX);
    let part = scattered as f64 / f64::from(u32::MAX);
    if part * f64::from(entries) < FIRST_CROSSINGS {
        MAX_SAVED
    } else {
        part
    }
}
