//! Orders to engines: compares the observed state of engines with the desired one and plans which
//! engine loads which layers, and in which sequence.

mod coverage;
mod desired_state;
mod planner;

pub use desired_state::{DesiredEngineState, list_desired_states};
pub use planner::{OrderPlan, OrderPlanner, OrderSettings, PlannedOrder};
