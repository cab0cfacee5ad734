//! The prefix cache of an engine: which blocks it holds, and the events that tell of them.

use std::collections::{BTreeMap, VecDeque};

use mgw_contract::target::CacheEvent;
use mgw_contract::tokens::{PREFIX_BLOCK_TOKENS, prefix_digests};

/// Blocks of prefixes, the least recently used evicted first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    used_at: BTreeMap<u64, Block>,
    oldest_first: BTreeMap<u64, u64>,
    uses: u64,
    sequence: u64,
    events: VecDeque<CacheEvent>,
}

#[derive(Debug, Clone, Copy)]
struct Block {
    use_number: u64,
    tokens: u32,
}

/// Events kept until they are announced; older ones are lost.
const MAX_EVENTS: usize = 4096;

impl PrefixCache {
    /// An empty cache for `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Looks up a prompt and stores it; returns how many of its first tokens were cached.
    pub fn visit(&mut self, tokens: &[u32]) -> u32 {
        let digests = prefix_digests(tokens);
        let known = digests
            .iter()
            .take_while(|digest| self.used_at.contains_key(digest))
            .count();
        for (index, digest) in digests.iter().enumerate() {
            self.store(*digest, block_tokens(index + 1));
        }
        block_tokens(known)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        self.events.drain(..).collect()
    }

    /// Puts events back in front that could not be announced.
    pub fn return_events(&mut self, events: Vec<CacheEvent>) {
        for event in events.into_iter().rev() {
            self.events.push_front(event);
        }
        self.bound_events();
    }

    /// Tells of every cached block anew.
    pub fn resend_all(&mut self) {
        self.events.clear();
        let blocks: Vec<(u64, u32)> = self
            .used_at
            .iter()
            .map(|(digest, block)| (*digest, block.tokens))
            .collect();
        for (digest, tokens) in blocks {
            self.tell(digest, tokens, true);
        }
    }

    /// Forgets everything and tells so.
    pub fn clear(&mut self) {
        while self.evict_oldest() {}
    }

    fn store(&mut self, digest: u64, tokens: u32) {
        if self.capacity == 0 {
            return;
        }
        self.uses += 1;
        let block = Block {
            use_number: self.uses,
            tokens,
        };
        match self.used_at.insert(digest, block) {
            Some(earlier) => {
                self.oldest_first.remove(&earlier.use_number);
            }
            None => self.tell(digest, tokens, true),
        }
        self.oldest_first.insert(self.uses, digest);
        while self.used_at.len() > self.capacity && self.evict_oldest() {}
    }

    fn evict_oldest(&mut self) -> bool {
        let Some((_, digest)) = self.oldest_first.pop_first() else {
            return false;
        };
        if let Some(block) = self.used_at.remove(&digest) {
            self.tell(digest, block.tokens, false);
        }
        true
    }

    fn tell(&mut self, prefix: u64, tokens: u32, stored: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            prefix,
            tokens,
            stored,
        });
        self.bound_events();
    }

    fn bound_events(&mut self) {
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

fn block_tokens(blocks: usize) -> u32 {
    u32::try_from(blocks * PREFIX_BLOCK_TOKENS).unwrap_or(u32::MAX)
}
