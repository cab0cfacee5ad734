//! Rate limits that targets state for themselves: requests a second from all entries together.

mod entry;
mod rate;

pub use entry::{EntryRateLimits, LimitChange};
pub use rate::RequestRate;
