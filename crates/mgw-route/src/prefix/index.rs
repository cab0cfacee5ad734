//! Index of cached prefixes, built from the targets' cache events and bounded in memory.

use std::collections::{BTreeMap, BTreeSet};

use mgw_contract::target::CacheEvent;
use mgw_world::Incarnation;

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
    last_used: BTreeMap<(TargetKey, PrefixDigest), u64>,
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
            self.apply_one(target, &mut progress, event);
        }
        self.progress.insert(target, progress);
        if progress.needs_resend {
            CacheSyncState::ResendNeeded
        } else {
            CacheSyncState::Current
        }
    }

    fn apply_one(&mut self, target: TargetKey, progress: &mut Progress, event: &CacheEvent) {
        if event.sequence < progress.next_sequence {
            return;
        }
        let is_gap = event.sequence > progress.next_sequence;
        progress.needs_resend = is_gap;
        progress.next_sequence = event.sequence.saturating_add(1);
        if event.stored {
            self.insert(target, PrefixDigest(event.prefix));
        } else {
            self.remove_entry(target, PrefixDigest(event.prefix));
        }
    }

    /// Records that a target has likely cached a prefix, and evicts the least recently used entry
    /// if the index is full.
    pub fn insert(&mut self, target: TargetKey, prefix: PrefixDigest) {
        self.use_counter += 1;
        if let Some(earlier) = self.last_used.insert((target, prefix), self.use_counter) {
            self.by_last_use.remove(&earlier);
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
        if let Some(used_at) = self.last_used.remove(&(target, prefix)) {
            self.by_last_use.remove(&used_at);
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
    pub fn find_holders(&self, prefixes: &[PrefixDigest]) -> Vec<TargetKey> {
        let mut found = Vec::new();
        for prefix in prefixes.iter().rev() {
            let Some(holders) = self.holders.get(prefix) else {
                continue;
            };
            found.extend(
                holders
                    .iter()
                    .filter(|key| !found.contains(*key))
                    .copied()
                    .collect::<Vec<_>>(),
            );
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
