//! Placement of a model's layers on forwarding engines, done by the leader.

mod calls;
mod leader_loop;

pub use calls::{OrderCall, PlacementCalls};
