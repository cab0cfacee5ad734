//! Limits how often requests may use chains across zones.
//!
//! Load pattern: targets fail and the remaining ones of each zone are full, so many entries find
//! only chains across zones, all at once. Their activations queue on the links between zones, one
//! transfer after another, until no request that crosses zones gets a token within the time that
//! callers tolerate.

use mgw_world::{Millis, PipelineModel};

use super::cost::RequestSize;

/// Fraction of the bandwidth between zones that chains may use.
const LINK_SHARE: f64 = 0.75;
/// Time without a request for a chain across zones after which an entry's credit is reset.
const IDLE_RESET_MS: Millis = Millis(5_000);
/// Crossings that all entries together may start with after such a reset.
const INITIAL_CROSSINGS: f64 = 8.0;
/// Upper limit of an entry's credit, in crossings.
const MAX_CREDIT: f64 = 1.0;

/// One entry's share of the bandwidth between zones, as a token bucket of crossings.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CrossingBudget {
    credit: f64,
    last_asked_at: Option<Millis>,
}

impl CrossingBudget {
    /// Whether one of `entries` may use a chain across zones now. Credit grows only while such
    /// chains are asked for: with credit saved up in advance, all entries would cross at once.
    pub fn allows(
        &mut self,
        model: &PipelineModel,
        size: RequestSize,
        entries: u32,
        now: Millis,
    ) -> bool {
        let bytes = size.kv_tokens() * model.activation_bytes;
        let per_ms = LINK_SHARE * model.place_link_bytes_per_ms / bytes.max(f64::MIN_POSITIVE);
        let own_per_ms = per_ms / f64::from(entries.max(1));
        self.credit = match self.last_asked_at {
            Some(at) if now - at <= IDLE_RESET_MS => self.credit + own_per_ms * (now - at).0 as f64,
            _ => initial_credit(entries, now),
        };
        self.credit = self.credit.min(MAX_CREDIT);
        self.last_asked_at = Some(now);
        self.credit >= MAX_CREDIT
    }

    /// Deducts the zone crossings of a chosen chain.
    pub fn spend(&mut self, crossings: usize) {
        self.credit -= crossings as f64;
    }
}

/// Credit of an entry after a reset: a few of all entries may cross at once, the others follow one
/// by one. The clocks of entries start at different times, which spreads their initial credit.
fn initial_credit(entries: u32, now: Millis) -> f64 {
    let credit = scatter(now);
    if credit * f64::from(entries) < INITIAL_CROSSINGS {
        MAX_CREDIT
    } else {
        credit
    }
}

/// A number from 0 to 1 that differs between nearby times.
pub(super) fn scatter(now: Millis) -> f64 {
    /// Odd number near 2^32 divided by the golden ratio; multiplying by it scatters nearby times.
    const SCATTER: u64 = 2_654_435_769;
    let scattered = now.0.wrapping_mul(SCATTER) & u64::from(u32::MAX);
    scattered as f64 / f64::from(u32::MAX)
}
