//! The entry node of masticgw: serves callers and targets and runs pipelines over engines.
//!
//! `README.md` lists the modules and what each of them does.

mod addresses;
mod admission;
mod announce;
mod app;
mod completions;
mod config;
mod controls;
pub mod engines;
mod follow_config;
mod leave;
mod members;
mod metrics;
mod open_calls;
mod operator;
mod paths;
mod refresh;
mod run;
mod services;
mod settings;
mod web;

pub use run::{RunError, run_entry};
pub use settings::{CallerLimits, EntrySettings, LeavingSettings, Peer};
