//! Stand-in for a model engine. The decisions are made in `core`, `sessions`, `batch` and
//! `prefixes`, without I/O; `server`, `routes` and `weight_loading` run them with timers and HTTP.

mod batch;
mod core;
mod prefixes;
mod routes;
mod server;
mod sessions;
mod weight_loading;

pub use batch::{BatchQueue, IterationTiming, QueuedStep};
pub use core::{EngineCore, FinishedStep, OrderDecision};
pub use prefixes::PrefixCache;
pub use routes::handle;
pub use server::EngineServer;
pub use sessions::{SessionLimits, SessionStore, StepSpan};
