//! Open-loop load and experiment tool.
//!
//! Arrivals, prompts, addresses, the reading of answers and the figures are plain data and
//! functions; `caller`, `timeline` and `run` do the I/O.

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
