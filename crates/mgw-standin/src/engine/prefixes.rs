//! Prefix cache of an engine: the cached blocks and the events that announce changes to them.

use std::collections::{BTreeMap, VecDeque};

use mgw_contract::target::CacheEvent;
use mgw_contract::tokens::{PREFIX_BLOCK_TOKENS, prefix_digests};

/// LRU cache of prefix blocks that records an event for each block stored or evicted.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    /// Cached blocks by digest.
    blocks: BTreeMap<u64, Block>,
    /// Digests of the cached blocks by the number of their last use.
    digest_by_use: BTreeMap<u64, u64>,
    use_count: u64,
    sequence: u64,
    events: VecDeque<CacheEvent>,
}

#[derive(Debug, Clone, Copy)]
struct Block {
    last_use: u64,
    tokens: u32,
}

/// Maximum number of events that wait to be announced; beyond it the oldest are dropped.
const MAX_EVENTS: usize = 4096;

impl PrefixCache {
    /// Creates an empty cache for `capacity` blocks; zero turns it off.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Looks up a prompt and stores its blocks. Returns how many of its leading tokens were cached
    /// before.
    pub fn look_up_and_store(&mut self, tokens: &[u32]) -> u32 {
        let digests = prefix_digests(tokens);
        let cached = digests
            .iter()
            .take_while(|digest| self.blocks.contains_key(digest))
            .count();
        for (index, digest) in digests.iter().enumerate() {
            self.store_block(*digest, block_tokens(index + 1));
        }
        block_tokens(cached)
    }

    /// Removes and returns the events recorded since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        self.events.drain(..).collect()
    }

    /// Puts events that could not be announced back at the front of the queue.
    pub fn return_events(&mut self, events: Vec<CacheEvent>) {
        for event in events.into_iter().rev() {
            self.events.push_front(event);
        }
        self.drop_excess_events();
    }

    /// Replaces the waiting events by one stored event for each cached block.
    pub fn resend_all(&mut self) {
        self.events.clear();
        let blocks: Vec<(u64, u32)> = self
            .blocks
            .iter()
            .map(|(digest, block)| (*digest, block.tokens))
            .collect();
        for (digest, tokens) in blocks {
            self.record_event(digest, tokens, true);
        }
    }

    /// Evicts all blocks and records an event for each.
    pub fn clear(&mut self) {
        while self.evict_oldest() {}
    }

    fn store_block(&mut self, digest: u64, tokens: u32) {
        if self.capacity == 0 {
            return;
        }
        self.use_count += 1;
        let block = Block {
            last_use: self.use_count,
            tokens,
        };
        match self.blocks.insert(digest, block) {
            Some(previous) => {
                self.digest_by_use.remove(&previous.last_use);
            }
            None => self.record_event(digest, tokens, true),
        }
        self.digest_by_use.insert(self.use_count, digest);
        while self.blocks.len() > self.capacity && self.evict_oldest() {}
    }

    fn evict_oldest(&mut self) -> bool {
        let Some((_, digest)) = self.digest_by_use.pop_first() else {
            return false;
        };
        if let Some(block) = self.blocks.remove(&digest) {
            self.record_event(digest, block.tokens, false);
        }
        true
    }

    fn record_event(&mut self, prefix: u64, tokens: u32, stored: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            prefix,
            tokens,
            stored,
        });
        self.drop_excess_events();
    }

    fn drop_excess_events(&mut self) {
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

fn block_tokens(blocks: usize) -> u32 {
    u32::try_from(blocks * PREFIX_BLOCK_TOKENS).unwrap_or(u32::MAX)
}
