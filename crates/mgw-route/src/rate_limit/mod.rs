//! Rate limits that targets state for themselves: requests a second from all entries together.
//!
//! Load pattern: there are many entries, and all prefer the same targets. A target that states a
//! limit far below one request a second for each entry would get many times as many if each entry
//! kept the limit by itself, and hardly any if each had an equal share: a share is less than one
//! request. So the shares of all entries are pooled at the control that collects their reports, and
//! given out as whole tokens to the entries that want to send there.

mod entry;
mod rate;
mod report;
mod returns;
mod table;

pub use entry::{EntryRateLimits, LimitChange};
pub use rate::RequestRate;
pub use report::{LimitReport, LimitUpdate, StatedRate, TokenDemand, ToldLimit};
pub use returns::ReturnTimes;
pub use table::{EntryCounts, LimitedTarget, RateLimitTable};
