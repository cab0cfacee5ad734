//! A small discrete-event measurement of path choice: batching targets, closed-loop sessions.
//!
//! Shared by the example `policies` and by the tests, so that both measure the same thing.

mod fleet;
mod policy;
mod sim;

pub use fleet::Shape;
pub use policy::Policy;
#[allow(unused_imports, reason = "the tests name the type")]
pub use sim::Outcome;
pub use sim::{Run, run};
