//! Parts of prompts that end the targets which begin to answer a request with them, and the quarantine
//! that keeps such requests from targets.
//!
//! Load pattern: one caller's prompt holds a part that ends each target, and requests with it come at
//! all entries, new ones and repeats. Each entry sees a few of the ends, and each of them also hits
//! requests that are sound. Sent on to the next target, one such request after the other takes the
//! whole fleet away.

mod entry;
mod evidence;
mod report;
mod table;

pub use entry::{EntryQuarantine, QuarantineChange};
pub use evidence::{PartEvidence, QuarantineSettings, TargetEnd};
pub use report::{EvidenceReport, QuarantineUpdate, ReportedEnd, SoundPart, SuspectPart};
pub use table::QuarantineTable;
