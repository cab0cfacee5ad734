//! News of the controls.

mod controls;
mod routing;
mod upkeep;

pub use controls::{FindControls, follow_controls};
pub use routing::RoutingNews;
pub use upkeep::run_upkeep;
