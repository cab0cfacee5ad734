//! The stand-in for a model engine: decisions in `core`, `sessions`, `batch` and `prefixes`, the
//! process round them in `shell`, `routes` and `load`.

mod batch;
mod core;
mod load;
mod prefixes;
mod routes;
mod sessions;
mod shell;

pub use batch::{BatchQueue, Pace, Waiting};
pub use core::{EngineCore, FinishedStep, OrderDecision};
pub use prefixes::PrefixCache;
pub use routes::handle;
pub use sessions::{SessionLimits, SessionStore, StepSpan};
pub use shell::EngineShell;
