//! Tracks which targets are likely to have a prompt's prefix in their cache.

mod digest;
mod index;

pub use digest::{PREFIX_BLOCK_TOKENS, PrefixDigest, digest_prefixes};
pub(crate) use digest::{digest_name, mix_digest};
pub use index::CacheSyncState;
pub(crate) use index::PrefixIndex;
