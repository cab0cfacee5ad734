//! Decides which layers each forwarding engine holds, and issues the orders that bring this about.

mod coverage;
mod placer;
mod plan;

pub use placer::{AnnouncedEngine, OrderOutcome, PlacementOrder, Placer, PlacerSettings};
pub use plan::{PlannedEngine, plan_layers};
