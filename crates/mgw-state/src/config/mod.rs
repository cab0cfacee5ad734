//! The configuration: changes to it, the accepted revisions, the differences between them, and the
//! view of an entry.

mod change;
mod configuration;
mod describe;
mod diff;
mod patch;
mod view;

pub use change::{ConfigChange, Digest};
pub(crate) use configuration::ChangeResult;
pub use configuration::Configuration;
pub use diff::{ConfigDiff, SectionDiff};
pub use patch::{ConfigPatch, TextPatch};
pub use view::{ConfigUpdate, ConfigView};
