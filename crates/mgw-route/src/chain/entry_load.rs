//! What entries tell each other of their use of targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

use crate::limit::{SendWindow, ServiceSends};

/// Age beyond which an entry's word on its use counts no more; it is renewed about twice a second.
const WORD_MS: Millis = Millis(2_500);

/// Entries that must have lost a target for the others to hear of it: one alone may be cut off
/// itself.
const LOST_BY: usize = 2;

/// Use of one target by one entry, or by several together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Where the target takes calls.
    pub address: SocketAddr,
    /// KV cache that requests may take there, in tokens of one layer.
    pub token_layers: u64,
    /// Requests that pass through.
    pub requests: u32,
    /// Those of them of whose chains it is the first target.
    pub received: u32,
}

/// What one entry says of its use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLoad {
    /// Requests in flight there.
    pub requests: u32,
    /// Use of targets.
    pub uses: Vec<TargetLoad>,
    /// Targets that didn't answer its last probe.
    pub lost: Vec<SocketAddr>,
    /// Its sends since its start.
    pub sends: Vec<ServiceSends>,
}

/// What all other entries say together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherEntriesLoad {
    /// Number of those entries.
    pub entries: u32,
    /// Requests in flight there.
    pub requests: u32,
    /// Use of targets.
    pub uses: Vec<TargetLoad>,
    /// Targets that didn't answer the last probe of several entries.
    pub lost: Vec<SocketAddr>,
    /// Sends of all entries in the last seconds, the one that asks included; empty until that is
    /// known.
    pub sends: Vec<ServiceSends>,
}

#[derive(Debug, Clone)]
struct Word {
    said_at: Millis,
    word: EntryLoad,
}

/// The words of all entries, kept by one control. They are worth nothing after a few seconds, so
/// nothing is stored or replicated.
#[derive(Debug, Default)]
pub struct EntryLoadTable {
    words: BTreeMap<String, Word>,
    sends: SendWindow,
}

impl EntryLoadTable {
    /// Takes an entry's word and gives what all others use together.
    pub fn exchange(&mut self, entry: &str, word: EntryLoad, now: Millis) -> OtherEntriesLoad {
        self.sends.record(entry, &word.sends, now);
        let said = Word { said_at: now, word };
        self.words.insert(entry.to_owned(), said);
        self.words.retain(|_, word| now - word.said_at <= WORD_MS);
        let mut sums: BTreeMap<SocketAddr, TargetLoad> = BTreeMap::new();
        let others = self.words.iter().filter(|(name, _)| *name != entry);
        let others: Vec<&EntryLoad> = others.map(|(_, said)| &said.word).collect();
        for used in others.iter().flat_map(|word| &word.uses) {
            let sum = sums.entry(used.address).or_insert(TargetLoad {
                token_layers: 0,
                requests: 0,
                received: 0,
                ..*used
            });
            sum.token_layers += used.token_layers;
            sum.requests += used.requests;
            sum.received += used.received;
        }
        OtherEntriesLoad {
            entries: u32::try_from(others.len()).unwrap_or(u32::MAX),
            requests: others.iter().map(|word| word.requests).sum(),
            uses: sums.into_values().collect(),
            lost: find_lost(&others),
            sends: self.sends.totals(now),
        }
    }
}

/// Targets that several entries have lost.
fn find_lost(words: &[&EntryLoad]) -> Vec<SocketAddr> {
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for address in words.iter().flat_map(|word| &word.lost) {
        *counts.entry(*address).or_default() += 1;
    }
    let lost = counts.into_iter().filter(|(_, count)| *count >= LOST_BY);
    lost.map(|(address, _)| address).collect()
}
