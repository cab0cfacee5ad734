//! The view of one node, its announcements, its exchanges and the choice made from it.

mod announce;
mod choice;
mod core;
mod exchange;
mod places;
mod reply;
mod watch;

pub use announce::AnnounceOutcome;
pub use choice::{EligibleTarget, IneligibleReason, TargetStatus};
pub use core::View;
pub use exchange::{ExchangeFailure, ExchangeTicket, OutgoingExchange};
pub use places::{NodeStatus, PlaceStatus};
