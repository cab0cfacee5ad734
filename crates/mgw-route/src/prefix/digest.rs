//! Digests of prompt prefixes, one per full block of tokens.

use serde::{Deserialize, Serialize};

/// Number of tokens in one block of a prefix.
pub const PREFIX_BLOCK_TOKENS: usize = 16;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Multipliers of the finalizer of SplitMix64.
const MIX_PRIMES: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];

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
    let mut hash = FNV_OFFSET;
    let mut digests = Vec::with_capacity(tokens.len() / PREFIX_BLOCK_TOKENS);
    for block in tokens.chunks_exact(PREFIX_BLOCK_TOKENS) {
        for byte in block.iter().flat_map(|token| token.to_le_bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        digests.push(PrefixDigest(hash));
    }
    digests
}

/// FNV-1a digest of a name, the same in every process.
pub(crate) fn digest_name(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Mixes the bits of a digest so that each input bit affects every output bit.
pub(crate) const fn mix_digest(digest: u64) -> u64 {
    let mixed = (digest ^ (digest >> 30)).wrapping_mul(MIX_PRIMES[0]);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(MIX_PRIMES[1]);
    mixed ^ (mixed >> 31)
}
