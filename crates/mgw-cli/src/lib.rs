//! The operators' command line `mgw`, as a library.

pub mod args;
mod client;
mod commands;
mod error;
mod output;

pub use commands::run_command;
pub use error::{CliError, ExitStatus};
