//! News of the controls.

mod controls;
mod routing;
mod sources;
mod upkeep;
mod uses;

pub use controls::{FindControls, follow_controls};
pub use routing::RoutingNews;
pub use sources::{RoutingSource, RoutingSources};
pub use upkeep::run_upkeep;
pub use uses::share_uses;
