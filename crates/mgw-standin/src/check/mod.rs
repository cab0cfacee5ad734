//! Checks journals against what must always hold.
//!
//! A session is one attempt at one range of layers. Within a session each position runs once and
//! in order. An answer may rest on several attempts, so a request is covered when the attempts
//! together ran every layer at every position, and each step's input came out of the stage before.

mod coverage;
mod lines;
mod report;

pub use lines::{AnswerLine, JournalError, read_answers};
pub use report::{CheckSettings, Report, Violation, check_journals, check_lines};
