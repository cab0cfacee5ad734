//! Open-loop load and experiment tool.
//!
//! `caller`, `timeline`, `bound` and `run` do network I/O. Arrivals, prompts, address selection,
//! checks of answers and the report's figures are plain data and functions.

pub mod addresses;
pub mod answer;
pub mod arrivals;
pub mod bound;
pub mod caller;
pub mod cli;
pub mod events;
pub mod prompts;
pub mod report;
pub mod results;
pub mod run;
pub mod settings;
pub mod timeline;
