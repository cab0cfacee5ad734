//! A small discrete-event simulation of path choice with batching targets and closed-loop sessions.
//!
//! The example `policies` and the saturation tests share it, so that both measure the same system.

mod fleet;
mod policy;
mod sim;

pub use fleet::Shape;
pub use policy::Policy;
#[allow(unused_imports, reason = "the tests name the type")]
pub use sim::Outcome;
pub use sim::{SimSettings, run_sim};
