//! Announcements to the entries: choice of the entry, contents and timing.

mod announcer;
mod entries;
mod reports;

pub use announcer::announce_forever;
pub use entries::EntryList;
pub use reports::ReportFilter;
