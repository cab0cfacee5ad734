//! Which layers each forwarding engine shall hold, and the orders that bring that about.

mod placer;
mod plan;
mod window;

pub use placer::{AnnouncedEngine, OrderOutcome, PlacementOrder, Placer, PlacerSettings};
pub use plan::{PlannedEngine, plan_layers};
