//! Digests of prompt prefixes, one per full block of tokens.

use mgw_world::{EMPTY_HASH, extend_hash};
use serde::{Deserialize, Serialize};

/// Number of tokens in one block of a prefix.
pub const PREFIX_BLOCK_TOKENS: usize = 16;

/// Digest of all tokens of a prompt up to the end of a block.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct PrefixDigest(pub u64);

/// Returns the digest of each prefix that consists of whole blocks, shortest first.
///
/// The digest is FNV-1a over the tokens in little-endian order, so that it is the same in every
/// process.
///
/// ```
/// use mgw_route::digest_prefixes;
/// let long: Vec<u32> = (0..40).collect();
/// let short: Vec<u32> = (0..20).collect();
/// assert_eq!(digest_prefixes(&long).len(), 2);
/// assert_eq!(digest_prefixes(&long)[0], digest_prefixes(&short)[0]);
/// ```
#[must_use]
pub fn digest_prefixes(tokens: &[u32]) -> Vec<PrefixDigest> {
    let mut hash = EMPTY_HASH;
    let mut digests = Vec::with_capacity(tokens.len() / PREFIX_BLOCK_TOKENS);
    for block in tokens.chunks_exact(PREFIX_BLOCK_TOKENS) {
        hash = extend_hash(hash, block.iter().flat_map(|token| token.to_le_bytes()));
        digests.push(PrefixDigest(hash));
    }
    digests
}
