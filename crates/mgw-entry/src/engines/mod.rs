//! Client for model engines, which batches the steps of several requests.

mod batcher;
mod calls;
mod client;
mod send_time;
mod settings;

pub use calls::{CallError, StepError};
pub use client::{EngineClient, EngineCounts};
pub use send_time::SendTime;
pub use settings::EngineSettings;
