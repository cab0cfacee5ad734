//! The membership view of one node: leases, exchanges with other nodes, eligibility of targets.

mod announce;
mod core;
mod eligibility;
mod exchange;
mod places;
mod reply;
mod watch;

pub use announce::AnnounceOutcome;
pub use core::View;
pub use eligibility::{EligibleTarget, IneligibleReason, TargetStatus};
pub use exchange::{ExchangeFailure, ExchangeTicket, OutgoingExchange};
pub use places::{NodeStatus, PlaceStatus};
