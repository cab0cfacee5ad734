//! The leader places layers on forwarding engines.

mod calls;
mod duty;

pub use calls::{OrderCall, PlacementCalls};
