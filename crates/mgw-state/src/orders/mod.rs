//! Orders to engines: what shall be loaded where, by whom, and in which order.

mod coverage;
mod planner;
mod wanted;

pub use planner::{OrderPlan, OrderPlanner, OrderSettings, PlannedOrder};
pub use wanted::{WantedEngine, list_wanted};
