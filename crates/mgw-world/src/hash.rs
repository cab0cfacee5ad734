//! Hashes that are the same in every process and in every release.

/// Hash of no bytes, from which [`extend_hash`] goes on.
pub const EMPTY_HASH: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Multipliers of the finalizer of SplitMix64.
const MIX_PRIMES: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];

/// Adds bytes to a hash with FNV-1a.
#[must_use]
pub fn extend_hash(hash: u64, bytes: impl IntoIterator<Item = u8>) -> u64 {
    let step = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    bytes.into_iter().fold(hash, step)
}

/// Hashes bytes with FNV-1a.
///
/// ```
/// use mgw_world::{EMPTY_HASH, extend_hash, hash_bytes};
/// assert_eq!(hash_bytes(*b"ab"), extend_hash(hash_bytes(*b"a"), *b"b"));
/// assert_eq!(hash_bytes([]), EMPTY_HASH);
/// ```
#[must_use]
pub fn hash_bytes(bytes: impl IntoIterator<Item = u8>) -> u64 {
    extend_hash(EMPTY_HASH, bytes)
}

/// Mixes the bits of a number so that each input bit affects every output bit.
#[must_use]
pub const fn mix_bits(value: u64) -> u64 {
    let mixed = (value ^ (value >> 30)).wrapping_mul(MIX_PRIMES[0]);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(MIX_PRIMES[1]);
    mixed ^ (mixed >> 31)
}
