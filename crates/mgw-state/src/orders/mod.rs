//! Orders to engines: what shall be loaded where, by whom, and in which order.

mod coverage;
mod desired_state;
mod planner;

pub use desired_state::{DesiredEngineState, list_desired_states};
pub use planner::{OrderPlan, OrderPlanner, OrderSettings, PlannedOrder};
