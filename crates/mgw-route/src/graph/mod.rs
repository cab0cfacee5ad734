//! Models the targets of one model version as a graph over layer boundaries and computes the
//! largest token rate that it allows.

mod balance;
mod bound;
mod build;
mod flow;

pub(crate) use balance::{Plan, plan_flow};
pub(crate) use bound::describe_plan;
pub use bound::{Bound, BoundaryShare, TargetShare, compute_bound};
pub use build::{Graph, GraphTarget};
pub(crate) use flow::Transfer;
