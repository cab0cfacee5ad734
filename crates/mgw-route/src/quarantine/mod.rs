//! Requests that end the targets which begin to answer them, by a part of their prompt or as a whole, and
//! the quarantine that keeps such requests from targets.
//!
//! Load patterns: one caller's prompt holds a part that ends each target, and requests with it come at all
//! entries, new ones and repeats. Or one request, the same each time, ends each target. Each entry sees a
//! few of the ends, and each of them also hits requests that are sound. Sent on to the next target, one
//! such request after the other takes the whole fleet away.

mod entry;
mod evidence;
mod report;
mod suspicion;
mod table;
mod trial;
mod unresolved;
mod verdict;

pub use entry::{EntryQuarantine, QuarantineChange};
pub use evidence::{Evidence, QuarantineSettings};
pub use report::{EvidenceReport, QuarantineUpdate, ReportedEnd, SoundSubject, Suspect};
pub use suspicion::TargetEnd;
pub use table::QuarantineTable;
pub use unresolved::{BrokenSend, UnresolvedSends};
pub use verdict::SettleTimes;
