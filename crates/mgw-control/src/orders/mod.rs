//! Orders to engines, which only the leader sends.

mod engines;
mod leader_loop;

pub use leader_loop::run_orders;
