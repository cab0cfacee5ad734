//! Decides which layers each forwarding engine holds, and issues the orders that bring this about.

mod coverage;
mod flow;
mod offer;
mod order;
mod placer;
mod plan;
mod rebalance;

pub use flow::{Holder, ZoneFlow, capacity, zone_flow};
pub use order::{AnnouncedEngine, Decision, DecisionCause, OrderOutcome, PlacementOrder};
pub use placer::{Placer, PlacerSettings};
pub use plan::{PlannedEngine, flow_of, plan_layers};
pub use rebalance::{Move, MoveCandidates, find_move};
