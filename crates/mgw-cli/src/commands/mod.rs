//! The commands of `mgw`, one module for each, and their dispatch.

mod audit;
mod config_apply;
mod config_check;
mod config_show;
mod drain;
mod entries;
mod group_keys;
mod ledger;
mod limits;
mod quarantine;
mod run;
mod status;
mod targets;

pub use run::run_command;
