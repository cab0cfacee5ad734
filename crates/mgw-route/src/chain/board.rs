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

/// What one entry says of its use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryUse {
    /// Requests in flight there.
    pub requests: u32,
    /// Use of targets.
    pub uses: Vec<TargetUse>,
}

/// What all other entries say together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OthersUse {
    /// Number of those entries.
    pub entries: u32,
    /// Requests in flight there.
    pub requests: u32,
    /// Use of targets.
    pub uses: Vec<TargetUse>,
}

#[derive(Debug, Clone)]
struct Word {
    said_at: Millis,
    word: EntryUse,
}

/// The words of all entries, kept by one control. They are worth nothing after a few seconds, so
/// nothing is stored or replicated.
#[derive(Debug, Default)]
pub struct UseBoard {
    words: BTreeMap<String, Word>,
}

impl UseBoard {
    /// Takes an entry's word and gives what all others use together.
    pub fn exchange(&mut self, entry: &str, word: EntryUse, now: Millis) -> OthersUse {
        let said = Word { said_at: now, word };
        self.words.insert(entry.to_owned(), said);
        self.words.retain(|_, word| now - word.said_at <= WORD_MS);
        let mut sums: BTreeMap<SocketAddr, TargetUse> = BTreeMap::new();
        let others = self.words.iter().filter(|(name, _)| *name != entry);
        let others: Vec<&EntryUse> = others.map(|(_, said)| &said.word).collect();
        for used in others.iter().flat_map(|word| &word.uses) {
            let sum = sums.entry(used.address).or_insert(TargetUse {
                token_layers: 0,
                requests: 0,
                ..*used
            });
            sum.token_layers += used.token_layers;
            sum.requests += used.requests;
        }
        OthersUse {
            entries: u32::try_from(others.len()).unwrap_or(u32::MAX),
            requests: others.iter().map(|word| word.requests).sum(),
            uses: sums.into_values().collect(),
        }
    }
}
