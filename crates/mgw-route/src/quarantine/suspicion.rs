//! The ends of targets under one subject.

use std::collections::{BTreeMap, BTreeSet};

use mgw_world::Millis;

use crate::exclusions::TargetRun;

/// The end of a target under a request that hadn't been seen to be sound there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetEnd {
    /// When the request was sent to the target.
    pub sent_at: Millis,
    /// When its connection broke.
    pub ended_at: Millis,
}

/// Ends under requests with one subject, since its last sound answer.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspicion {
    pub ends: BTreeMap<TargetRun, TargetEnd>,
    /// Number of sound streams before the first end.
    pub streams_before: u64,
    pub is_harmful: bool,
    /// Whether what speaks for the subject has had the time to become known.
    pub is_settled: bool,
}

impl Suspicion {
    pub fn first_ended_at(&self) -> Millis {
        let ended = self.ends.values().map(|end| end.ended_at);
        ended.min().unwrap_or_default()
    }

    pub fn last_ended_at(&self) -> Millis {
        let ended = self.ends.values().map(|end| end.ended_at);
        ended.max().unwrap_or_default()
    }

    /// When the second target ended; since then other processes are told of the subject.
    pub fn suspected_at(&self) -> Millis {
        let mut ended: Vec<Millis> = self.ends.values().map(|end| end.ended_at).collect();
        ended.sort_unstable();
        ended.get(1).copied().unwrap_or(Millis::MAX)
    }

    /// The ends of targets that aren't among those explained by something else.
    pub fn unexplained(&self, explained: &BTreeSet<TargetRun>) -> Vec<&TargetEnd> {
        let ends = self.ends.iter().filter(|(run, _)| !explained.contains(run));
        ends.map(|(_, end)| end).collect()
    }

    /// Whether all ends are among those of another subject.
    pub fn is_within(&self, other: &Self) -> bool {
        self.ends.keys().all(|run| other.ends.contains_key(run))
    }

    pub fn ends(&self) -> u32 {
        u32::try_from(self.ends.len()).unwrap_or(u32::MAX)
    }

    /// Drops the ends before a sound answer. Returns whether there were any.
    pub fn clear_until(&mut self, begun_at: Millis) -> bool {
        let before = self.ends.len();
        self.ends.retain(|_, end| end.ended_at > begun_at);
        self.ends.len() < before
    }
}

/// Largest number of ends of which each request was sent after the target before had ended.
pub(super) fn count_successive(mut ends: Vec<&TargetEnd>, min_distance_ms: Millis) -> u32 {
    ends.sort_unstable_by_key(|end| end.ended_at);
    let mut count = 0;
    let mut last_ended_at = Millis::ZERO;
    for end in ends {
        let is_distant = end.ended_at >= last_ended_at + min_distance_ms;
        if count == 0 || is_distant && end.sent_at >= last_ended_at {
            count += 1;
            last_ended_at = end.ended_at;
        }
    }
    count
}
