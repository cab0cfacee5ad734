//! Stand-ins for a model engine, a plain service and the weight store.
//!
//! They use the wire types of `mgw-contract` and journal everything that they execute, so that a
//! test can count what ran. The answer of the toy model depends on every layer run, so that a load
//! tool can verify a complete answer.

mod announce;
pub mod check;
pub mod cli;
mod common_routes;
mod context;
pub mod engine;
mod faults;
pub mod journal;
pub mod model;
pub mod plain;
mod run;
pub mod settings;
mod standin;
mod weights;

pub use announce::{EntryList, ReportFilter};
pub use check::{CheckSettings, Report, Violation, check_journals, check_lines};
pub use common_routes::{ErrorBody, JOURNAL_PATH};
pub use context::StandinContext;
pub use faults::{FAULT_PATH, Fault, Faults};
pub use run::{RunningStandin, StartError, start};
pub use standin::{RoleHandler, Standin};
pub use weights::WEIGHTS_PATH;
