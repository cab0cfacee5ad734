//! Calls to model engines.

mod calls;
mod client;
mod gather;
mod sent;
mod settings;

pub use calls::{CallError, StepError};
pub use client::{EngineClient, EngineCounts};
pub use sent::SentMark;
pub use settings::EngineSettings;
