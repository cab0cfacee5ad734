//! Serves callers and targets and drives pipelines: `mgw-entry`.

mod addresses;
mod announce;
mod app;
mod completions;
mod config;
mod controls;
pub mod engines;
mod follow;
mod gate;
mod intake;
mod leave;
mod members;
mod metrics;
mod operator;
mod paths;
mod refresh;
mod run;
mod services;
mod settings;
mod web;

pub use run::{RunError, run_entry};
pub use settings::{CallerLimits, EntrySettings, LeavingSettings, Peer};
