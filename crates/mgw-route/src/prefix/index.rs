//! What the targets' cache events say, kept within a fixed memory.

use std::collections::{BTreeMap, BTreeSet};

use mgw_contract::target::CacheEvent;
use mgw_world::Incarnation;

use crate::PrefixDigest;
use crate::router::TargetKey;

/// What came of a batch of cache events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheSyncState {
    /// The events were taken in.
    Current,
    /// Events are missing; the target has to send its whole list (`resend_cache`).
    ResendNeeded,
}

/// Sequence number of a target's first event.
const FIRST_SEQUENCE: u64 = 1;
/// Most holders of one prompt's prefixes that are looked at.
const MAX_HOLDERS: usize = 64;

/// How far the events of one target were taken in.
#[derive(Debug, Clone, Copy)]
struct Progress {
    incarnation: Incarnation,
    next: u64,
    awaits_list: bool,
}

/// Prefixes that targets likely hold.
///
/// A belief that is wrong costs a cache miss; nothing else relies on it.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    capacity: usize,
    stamp: u64,
    progress: BTreeMap<TargetKey, Progress>,
    holders: BTreeMap<PrefixDigest, BTreeSet<TargetKey>>,
    stamps: BTreeMap<(TargetKey, PrefixDigest), u64>,
    oldest: BTreeMap<u64, (TargetKey, PrefixDigest)>,
}

impl PrefixIndex {
    /// An empty index for at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Takes in events of a target.
    ///
    /// After a gap the list is asked for until events without a gap arrive. What was believed
    /// before is kept meanwhile: the requests that follow a stale belief load the prefix anew.
    pub fn apply(
        &mut self,
        target: TargetKey,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) -> CacheSyncState {
        let fresh = Progress {
            incarnation,
            next: FIRST_SEQUENCE,
            awaits_list: false,
        };
        let mut progress = self.progress.get(&target).copied().unwrap_or(fresh);
        if progress.incarnation > incarnation {
            return CacheSyncState::Current;
        }
        if progress.incarnation < incarnation {
            self.forget(target);
            progress = fresh;
        }
        for event in events {
            self.apply_one(target, &mut progress, event);
        }
        self.progress.insert(target, progress);
        if progress.awaits_list {
            CacheSyncState::ResendNeeded
        } else {
            CacheSyncState::Current
        }
    }

    fn apply_one(&mut self, target: TargetKey, progress: &mut Progress, event: &CacheEvent) {
        if event.sequence < progress.next {
            return;
        }
        let is_gap = event.sequence > progress.next;
        progress.awaits_list = is_gap;
        progress.next = event.sequence.saturating_add(1);
        if event.stored {
            self.remember(target, PrefixDigest(event.prefix));
        } else {
            self.drop_pair(target, PrefixDigest(event.prefix));
        }
    }

    /// Notes that a target likely holds a prefix, at the cost of the belief untouched longest.
    pub fn remember(&mut self, target: TargetKey, prefix: PrefixDigest) {
        self.stamp += 1;
        if let Some(old) = self.stamps.insert((target, prefix), self.stamp) {
            self.oldest.remove(&old);
        }
        self.oldest.insert(self.stamp, (target, prefix));
        self.holders.entry(prefix).or_default().insert(target);
        while self.stamps.len() > self.capacity {
            let Some((_, (key, digest))) = self.oldest.pop_first() else {
                return;
            };
            self.drop_pair(key, digest);
        }
    }

    /// Forgets everything about a target but how far its events were taken in.
    pub fn forget(&mut self, target: TargetKey) {
        let lowest = (target, PrefixDigest(0));
        let highest = (target, PrefixDigest(u64::MAX));
        let pairs: Vec<_> = self
            .stamps
            .range(lowest..=highest)
            .map(|(pair, _)| *pair)
            .collect();
        for (key, digest) in pairs {
            self.drop_pair(key, digest);
        }
    }

    /// Forgets a target that is gone.
    pub fn remove(&mut self, target: TargetKey) {
        self.forget(target);
        self.progress.remove(&target);
    }

    fn drop_pair(&mut self, target: TargetKey, prefix: PrefixDigest) {
        if let Some(stamp) = self.stamps.remove(&(target, prefix)) {
            self.oldest.remove(&stamp);
        }
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        holders.remove(&target);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }

    /// Targets that likely hold a prefix of the prompt, those with the longest first.
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

    /// Prefixes remembered.
    pub fn len(&self) -> usize {
        self.stamps.len()
    }
}
