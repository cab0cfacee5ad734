//! Reads TOML settings and reports all faults together, each with file, line and key.

mod finding;
mod load;
mod locate;
mod process;
mod search;
mod substitute;

pub use finding::{Finding, Findings};
pub use load::{load, parse};
pub use locate::line_of_key;
pub use process::{LogFormat, LogSettings};
