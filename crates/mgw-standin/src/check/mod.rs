//! Checks journals against the invariants of execution.
//!
//! A session is one attempt at one range of layers. Within a session each position runs once and
//! in order. An answer may combine several attempts. A request is therefore covered when its
//! attempts together ran every layer at every position and the input of each step is an output of
//! the preceding stage.

mod coverage;
mod lines;
mod report;

pub use lines::{AnswerLine, JournalError, read_answers};
pub use report::{CheckSettings, Report, Violation, check_journals, check_lines};
