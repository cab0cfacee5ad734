//! Estimates the fraction of requests whose prompts begin with a prefix.

use std::collections::BTreeMap;

use super::PrefixDigest;

/// Number of requests after which all counts are halved, so that old ones lose their weight.
const WINDOW_REQUESTS: f64 = 512.0;
/// Number of prefixes at which all counts are halved early, which bounds the memory.
const MAX_PREFIXES: usize = 8_192;
/// Requests with other prompts that are assumed at the start, so that a few requests don't make a
/// prefix popular.
const ASSUMED_REQUESTS: f64 = 32.0;

/// Counts of the prefixes in this entry's recent requests.
///
/// Callers choose entries without regard to their prompts, so the fraction at one entry is an
/// estimate of that at all of them.
#[derive(Debug, Default)]
pub(crate) struct PrefixDemand {
    requests: f64,
    counts: BTreeMap<PrefixDigest, f64>,
}

impl PrefixDemand {
    /// Records the prefixes of one request's prompt.
    pub fn record(&mut self, prefixes: &[PrefixDigest]) {
        self.requests += 1.0;
        for prefix in prefixes.iter().take(MAX_PREFIXES) {
            *self.counts.entry(*prefix).or_default() += 1.0;
        }
        while self.requests >= WINDOW_REQUESTS || self.counts.len() > MAX_PREFIXES {
            self.halve();
        }
    }

    /// Estimated fraction of all requests whose prompts begin with `prefix`.
    pub fn share(&self, prefix: PrefixDigest) -> f64 {
        let count = self.counts.get(&prefix).copied().unwrap_or(0.0);
        count / (self.requests + ASSUMED_REQUESTS)
    }

    fn halve(&mut self) {
        self.requests /= 2.0;
        self.counts.retain(|_, count| {
            *count /= 2.0;
            *count >= 1.0
        });
    }
}
