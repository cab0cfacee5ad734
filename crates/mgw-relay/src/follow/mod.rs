//! Background tasks that keep the relay up to date with controls and other entries.

mod controls;
mod load_exchange;
mod routing;
mod sources;
mod view_sync;

pub use controls::{ReloadControls, follow_controls};
pub use load_exchange::run_load_exchange;
pub use routing::RoutingUpdates;
pub use sources::{RoutingSource, RoutingSources};
pub use view_sync::run_view_sync;
