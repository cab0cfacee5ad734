//! Reads TOML settings and reports all faults together, each with file, line and key.

mod finding;
mod load;
mod process;

pub use finding::{Finding, Findings};
pub use load::{load, parse};
pub use process::{LogFormat, LogSettings};
