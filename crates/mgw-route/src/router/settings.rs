//! Settings of [`Router`](crate::Router).

use mgw_world::Millis;
use serde::Deserialize;

use crate::LatencyLimitSettings;

/// Rule by which a request follows a prefix of its prompt to a target that has it cached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PrefixRule {
    /// The holder of the longest prefix is preferred while this entry's requests there are at most
    /// `affinity_load_factor` times its planned share.
    #[default]
    WithinLoadLimit,
    /// A holder is weighed against a target chosen by planned flow: the prefill that it saves,
    /// against its wait and its memory.
    Weighed,
}

/// Tuning parameters of a [`Router`](crate::Router).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouterSettings {
    /// Seed of the random choices; each entry needs a different one.
    pub seed: u64,
    /// Age at which a load report has half its weight.
    pub report_half_life_ms: Millis,
    /// How long a target isn't chosen after its first local failure.
    pub suspect_ms: Millis,
    /// Longest time that a target isn't chosen after repeated failures.
    pub max_suspect_ms: Millis,
    /// Time without failure after which a target's failure count starts again at one.
    pub suspect_reset_ms: Millis,
    /// Rule by which cached prefixes are followed.
    pub prefix_rule: PrefixRule,
    /// A target is preferred as the home of a prefix that is cached nowhere, and by
    /// [`PrefixRule::WithinLoadLimit`] as its holder, while its load is at most this multiple of its
    /// planned share.
    pub affinity_load_factor: f64,
    /// Age at which the evidence that a target holds a prefix has half its weight, by
    /// [`PrefixRule::Weighed`].
    pub prefix_half_life_ms: Millis,
    /// Maximum number of cached prefixes to track, each counted once per target that holds it.
    pub max_prefixes: usize,
    /// Settings of the latency-based concurrency limit of each target.
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
            prefix_rule: PrefixRule::default(),
            affinity_load_factor: 1.25,
            prefix_half_life_ms: Millis(60_000),
            max_prefixes: 65_536,
            latency: LatencyLimitSettings::default(),
        }
    }
}
