//! Settings of a router.

use mgw_world::Millis;

use crate::LatencyLimitSettings;

/// Settings of a router.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouterSettings {
    /// Seed of the random choices; each entry needs its own.
    pub seed: u64,
    /// Age at which a load report counts for half.
    pub report_half_life_ms: Millis,
    /// How long a target is out of choice after its first local failure.
    pub suspect_ms: Millis,
    /// Longest time out of choice after repeated failures.
    pub max_suspect_ms: Millis,
    /// A target without failure for this long counts as sound again.
    pub suspect_reset_ms: Millis,
    /// A cached prefix is followed while the target's load is at most this multiple of its share.
    pub affinity_load_factor: f64,
    /// Most prefixes remembered, each counted once for each target that holds it.
    pub max_prefixes: usize,
    /// Settings of each target's latency limit.
    pub latency: LatencyLimitSettings,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            report_half_life_ms: Millis(500),
            suspect_ms: Millis(1_000),
            max_suspect_ms: Millis(30_000),
            suspect_reset_ms: Millis(60_000),
            affinity_load_factor: 1.25,
            max_prefixes: 65_536,
            latency: LatencyLimitSettings::default(),
        }
    }
}
