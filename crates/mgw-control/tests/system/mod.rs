//! Starts the built programs, with a folder and ports for each test, and stops them again.

#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

mod calls;
mod processes;
mod wait;

pub use calls::{CONTROLS, CallResult, change_text, read_calls, read_fences};
pub use processes::{System, SystemPlan};
pub use wait::{wait_for, wait_for_some};
