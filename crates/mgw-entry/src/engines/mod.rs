//! Calls to model engines.

mod calls;
mod client;

pub use calls::{CallError, StepError};
pub use client::EngineClient;
