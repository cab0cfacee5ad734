//! Orders to engines, a duty of the leader alone.

mod duty;
mod engines;

pub use duty::run_orders;
