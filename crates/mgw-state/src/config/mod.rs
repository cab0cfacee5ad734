//! The accepted configuration: changes, differences and the view that an entry holds.

mod accepted;
mod change;
mod describe;
mod diff;
mod patch;
mod view;

pub(crate) use accepted::ChangeResult;
pub use accepted::Configuration;
pub use change::{ConfigChange, Digest};
pub use diff::{ConfigDiff, SectionDiff};
pub use patch::{ConfigPatch, TextPatch};
pub use view::{ConfigUpdate, ConfigView};
