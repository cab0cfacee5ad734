//! Starts the built binaries with folders and ports of their own, and ends them again.

#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

mod calls;
mod processes;
mod wait;

pub use calls::{CONTROLS, ClaimEnd, change_text, read_calls, read_fences};
pub use processes::{Plan, System};
pub use wait::{wait_for, wait_some};
