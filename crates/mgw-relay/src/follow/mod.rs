//! News of the controls.

mod controls;
mod routing;
mod upkeep;
mod uses;

pub use controls::{FindControls, follow_controls};
pub use routing::RoutingNews;
pub use upkeep::run_upkeep;
pub use uses::share_uses;
