//! The facade that an entry uses: what is known of targets and links in, paths out.

mod facade;
mod settings;
mod view;

pub use facade::Router;
pub use settings::RouterSettings;
pub use view::{TargetInput, TargetView};
