//! Index of cached prefixes, built from the targets' cache events and bounded in memory.

use std::collections::{BTreeMap, BTreeSet};

use mgw_contract::target::CacheEvent;
use mgw_world::{Incarnation, Millis};

use crate::PrefixDigest;
use crate::router::TargetKey;

/// Whether the index is up to date with a target's cache events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheSyncState {
    /// No events are missing.
    Current,
    /// Events are missing; the target must resend its complete list (`resend_cache`).
    ResendNeeded,
}

/// Sequence number of a target's first event.
const FIRST_SEQUENCE: u64 = 1;
/// Number of holders of a prompt's prefixes at which the search for more stops.
const MAX_HOLDERS: usize = 64;

/// How far the events of one target have been applied.
#[derive(Debug, Clone, Copy)]
struct Progress {
    incarnation: Incarnation,
    /// Sequence number of the next expected event.
    next_sequence: u64,
    /// Whether events are missing, so that the target must resend its complete list.
    needs_resend: bool,
}

/// When the evidence that a target holds a prefix was last renewed.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    use_counter: u64,
    seen_at: Millis,
}

/// A target that has likely cached a prefix of a prompt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Holder {
    /// The target.
    pub key: TargetKey,
    /// Longest prefix of the prompt that it holds.
    pub prefix: PrefixDigest,
    /// Number of blocks of that prefix.
    pub blocks: usize,
    /// When the evidence for it was last renewed.
    pub seen_at: Millis,
}

/// Prefixes that targets are likely to have cached.
///
/// A wrong entry costs a cache miss; nothing else depends on it.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    capacity: usize,
    /// Counter of insertions, used as a logical time of last use.
    use_counter: u64,
    progress: BTreeMap<TargetKey, Progress>,
    holders: BTreeMap<PrefixDigest, BTreeSet<TargetKey>>,
    last_used: BTreeMap<(TargetKey, PrefixDigest), Evidence>,
    by_last_use: BTreeMap<u64, (TargetKey, PrefixDigest)>,
}

impl PrefixIndex {
    /// Creates an empty index for at most `capacity` pairs of target and prefix.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Applies cache events of a target.
    ///
    /// After a gap the result is [`CacheSyncState::ResendNeeded`] until events without a gap
    /// arrive. Existing entries are kept meanwhile: requests that follow a stale entry load the
    /// prefix again.
    pub fn apply(
        &mut self,
        target: TargetKey,
        incarnation: Incarnation,
        events: &[CacheEvent],
        now: Millis,
    ) -> CacheSyncState {
        let initial = Progress {
            incarnation,
            next_sequence: FIRST_SEQUENCE,
            needs_resend: false,
        };
        let mut progress = self.progress.get(&target).copied().unwrap_or(initial);
        if progress.incarnation > incarnation {
            return CacheSyncState::Current;
        }
        if progress.incarnation < incarnation {
            self.clear_target(target);
            progress = initial;
        }
        for event in events {
            self.apply_one(target, &mut progress, event, now);
        }
        self.progress.insert(target, progress);
        if progress.needs_resend {
            CacheSyncState::ResendNeeded
        } else {
            CacheSyncState::Current
        }
    }

    /// Removes the prefixes of earlier incarnations of a target, unless events of this one have done
    /// so already.
    pub fn begin_run(&mut self, target: TargetKey, incarnation: Incarnation) {
        let known = self.progress.get(&target);
        if known.is_some_and(|progress| progress.incarnation >= incarnation) {
            return;
        }
        self.clear_target(target);
        let progress = Progress {
            incarnation,
            next_sequence: FIRST_SEQUENCE,
            needs_resend: false,
        };
        self.progress.insert(target, progress);
    }

    fn apply_one(
        &mut self,
        target: TargetKey,
        progress: &mut Progress,
        event: &CacheEvent,
        now: Millis,
    ) {
        if event.sequence < progress.next_sequence {
            return;
        }
        let is_gap = event.sequence > progress.next_sequence;
        progress.needs_resend = is_gap;
        progress.next_sequence = event.sequence.saturating_add(1);
        if event.stored {
            self.insert(target, PrefixDigest(event.prefix), now);
        } else {
            self.remove_entry(target, PrefixDigest(event.prefix));
        }
    }

    /// Records that a target has likely cached a prefix, and evicts the least recently used entry
    /// if the index is full.
    pub fn insert(&mut self, target: TargetKey, prefix: PrefixDigest, now: Millis) {
        self.use_counter += 1;
        let evidence = Evidence {
            use_counter: self.use_counter,
            seen_at: now,
        };
        if let Some(earlier) = self.last_used.insert((target, prefix), evidence) {
            self.by_last_use.remove(&earlier.use_counter);
        }
        self.by_last_use.insert(self.use_counter, (target, prefix));
        self.holders.entry(prefix).or_default().insert(target);
        while self.last_used.len() > self.capacity {
            let Some((_, (key, digest))) = self.by_last_use.pop_first() else {
                return;
            };
            self.remove_entry(key, digest);
        }
    }

    /// Removes all prefixes of a target, but keeps how far its events were applied.
    pub fn clear_target(&mut self, target: TargetKey) {
        let lowest = (target, PrefixDigest(0));
        let highest = (target, PrefixDigest(u64::MAX));
        let pairs: Vec<_> = self
            .last_used
            .range(lowest..=highest)
            .map(|(pair, _)| *pair)
            .collect();
        for (key, digest) in pairs {
            self.remove_entry(key, digest);
        }
    }

    /// Removes a target that no longer exists.
    pub fn remove_target(&mut self, target: TargetKey) {
        self.clear_target(target);
        self.progress.remove(&target);
    }

    fn remove_entry(&mut self, target: TargetKey, prefix: PrefixDigest) {
        if let Some(evidence) = self.last_used.remove(&(target, prefix)) {
            self.by_last_use.remove(&evidence.use_counter);
        }
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        holders.remove(&target);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }

    /// Targets that have likely cached a prefix of the prompt, those with the longest prefix first.
    pub fn find_holders(&self, prefixes: &[PrefixDigest]) -> Vec<Holder> {
        let mut found: Vec<Holder> = Vec::new();
        for (index, prefix) in prefixes.iter().enumerate().rev() {
            let Some(holders) = self.holders.get(prefix) else {
                continue;
            };
            for key in holders {
                if found.iter().any(|holder| holder.key == *key) {
                    continue;
                }
                let Some(evidence) = self.last_used.get(&(*key, *prefix)) else {
                    continue;
                };
                found.push(Holder {
                    key: *key,
                    prefix: *prefix,
                    blocks: index + 1,
                    seen_at: evidence.seen_at,
                });
            }
            if found.len() >= MAX_HOLDERS {
                break;
            }
        }
        found
    }

    /// Number of pairs of target and prefix in the index.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }
}
