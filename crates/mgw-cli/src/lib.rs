//! The operators' command line: `mgw`.

pub mod args;
mod client;
mod commands;
mod error;
mod output;

pub use commands::run_command;
pub use error::{CliError, ExitStatus};
