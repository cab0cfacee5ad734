//! The stand-in for a model engine: decisions in `core`, `sessions`, `batch` and `prefixes`, the
//! process round them in `server`, `routes` and `load`.

mod batch;
mod core;
mod load;
mod prefixes;
mod routes;
mod server;
mod sessions;

pub use batch::{BatchQueue, IterationTiming, QueuedStep};
pub use core::{EngineCore, FinishedStep, OrderDecision};
pub use prefixes::PrefixCache;
pub use routes::handle;
pub use server::EngineServer;
pub use sessions::{SessionLimits, SessionStore, StepSpan};
