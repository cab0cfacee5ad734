//! What entries tell each other of their use of targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

/// Age beyond which an entry's word on its use counts no more; it is renewed about twice a second.
const WORD_MS: Millis = Millis(2_500);

/// Use of one target by one entry, or by several together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUse {
    /// Where the target takes calls.
    pub address: SocketAddr,
    /// KV cache that requests may take there, in tokens of one layer.
    pub token_layers: u64,
    /// Requests that pass through.
    pub requests: u32,
}

#[derive(Debug, Clone)]
struct Word {
    said_at: Millis,
    uses: Vec<TargetUse>,
}

/// The words of all entries, kept by one control. They are worth nothing after a few seconds, so
/// nothing is stored or replicated.
#[derive(Debug, Default)]
pub struct UseBoard {
    words: BTreeMap<String, Word>,
}

impl UseBoard {
    /// Takes an entry's word and gives what all others use together.
    pub fn exchange(&mut self, entry: &str, uses: Vec<TargetUse>, now: Millis) -> Vec<TargetUse> {
        let word = Word { said_at: now, uses };
        self.words.insert(entry.to_owned(), word);
        self.words.retain(|_, word| now - word.said_at <= WORD_MS);
        let mut sums: BTreeMap<SocketAddr, TargetUse> = BTreeMap::new();
        let others = self.words.iter().filter(|(name, _)| *name != entry);
        for used in others.flat_map(|(_, word)| &word.uses) {
            let sum = sums.entry(used.address).or_insert(TargetUse {
                token_layers: 0,
                requests: 0,
                ..*used
            });
            sum.token_layers += used.token_layers;
            sum.requests += used.requests;
        }
        sums.into_values().collect()
    }
}
