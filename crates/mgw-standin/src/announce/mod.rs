//! Announcements to the entries: which entry, what is said, and when.

mod announcer;
mod entries;
mod reports;

pub use announcer::announce_forever;
pub use entries::EntryList;
pub use reports::ReportFilter;
