//! Tracks which targets are likely to have a prompt's prefix in their cache, and weighs what that
//! saves.

mod demand;
mod digest;
mod index;
mod weigh;

pub(crate) use demand::PrefixDemand;
pub use digest::{PREFIX_BLOCK_TOKENS, PrefixDigest, digest_prefixes};
pub use index::CacheSyncState;
pub(crate) use index::{Holder, PrefixIndex};
pub use weigh::{PrefillTarget, choose_prefill_target, follow_probability};
