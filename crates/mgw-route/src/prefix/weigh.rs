//! Weighs the prefill that a cached prefix saves against the wait and the memory at a target.

use crate::chain::utilization_factor;

/// Difference between two estimates that doesn't count, as a fraction of the request's prefill
/// time. Entries with the same information would otherwise all choose the same target.
const NEGLIGIBLE_SHARE: f64 = 0.05;
/// Fraction of a target's KV memory above which a request is likely to be preempted.
const MAX_MEMORY_SHARE: f64 = 0.95;

/// What is known about a target that could run the prefill of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillTarget {
    /// Time to prefill one token of the prompt through all layers that the target runs for it.
    pub token_ms: f64,
    /// Tokens of the prompt that the target holds, weighted by how certain that is.
    pub held_tokens: f64,
    /// Time until the target begins the prefill, because of running and queued work.
    pub wait_ms: f64,
    /// Fraction of the target's KV memory in use, with the request's own need.
    pub memory_share: f64,
    /// Rate of the target, by which one of several equal ones is chosen.
    pub rate: f64,
}

impl PrefillTarget {
    /// Estimated time until the first token of a prompt, in milliseconds: the prefill of what the
    /// target doesn't hold, the wait, and the price of memory.
    ///
    /// The price is the prefill time that a preemption would cost, as the request would then run
    /// again without the prefix.
    #[must_use]
    pub fn estimate_ms(&self, prompt_tokens: f64) -> f64 {
        let prefill_ms = prompt_tokens * self.token_ms;
        let saved_ms = self.held_tokens.clamp(0.0, prompt_tokens) * self.token_ms;
        let memory_factor = utilization_factor(self.memory_share, MAX_MEMORY_SHARE);
        prefill_ms - saved_ms + self.wait_ms + prefill_ms * (memory_factor - 1.0)
    }
}

/// Probability with which a request may follow a prefix to its holders, so that the holders of a
/// popular prefix don't get more than their part of all requests.
///
/// `holders_share` is the holders' fraction of the rate of all targets that could run the request,
/// `demand_share` the fraction of requests with the prefix, and `saved_share` the fraction of a
/// prompt that the prefix saves. Holders that save a fraction `h` of the prefill get at most `h`
/// times their part in addition, so their work grows by `h * (1 - h)` at most. Requests that don't
/// follow the prefix load it elsewhere, so that the number of holders grows until they suffice.
#[must_use]
pub fn follow_probability(holders_share: f64, demand_share: f64, saved_share: f64) -> f64 {
    (saved_share * holders_share / demand_share.max(f64::MIN_POSITIVE)).min(1.0)
}

/// Chooses the target with the least estimated time; returns its index.
///
/// Targets whose estimates differ negligibly are chosen in proportion to their rates. `random`
/// returns a number from 0 to 1 for each of them.
#[must_use]
pub fn choose_prefill_target(
    targets: &[PrefillTarget],
    prompt_tokens: f64,
    mut random: impl FnMut() -> f64,
) -> Option<usize> {
    let estimates_ms: Vec<f64> = targets
        .iter()
        .map(|target| target.estimate_ms(prompt_tokens))
        .collect();
    let least_ms = estimates_ms.iter().copied().min_by(f64::total_cmp)?;
    let equal = targets.iter().enumerate().filter(|(index, target)| {
        let negligible_ms = NEGLIGIBLE_SHARE * prompt_tokens * target.token_ms;
        estimates_ms[*index] <= least_ms + negligible_ms
    });
    let scored = equal.map(|(index, target)| {
        let score = -(1.0 - random()).ln() / target.rate.max(f64::MIN_POSITIVE);
        (score, index)
    });
    let best = scored.min_by(|left, right| left.0.total_cmp(&right.0));
    best.map(|(_, index)| index)
}
