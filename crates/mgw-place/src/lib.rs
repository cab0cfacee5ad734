//! Which layers each forwarding engine shall hold, and the orders that bring that about.

mod placer;
mod plan;
mod window;

pub use placer::{EngineView, OrderOutcome, PlaceOrder, Placer, PlacerSettings};
pub use plan::{Engine, plan_place};
