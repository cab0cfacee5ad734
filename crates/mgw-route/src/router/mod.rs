//! The facade that an entry uses: what is known of targets and links in, paths out.

mod facade;
mod fleet;
mod lane;
mod refresh;
mod reserve;
mod settings;
mod view;
mod walk;

pub use facade::Router;
pub(crate) use fleet::TargetKey;
pub use settings::RouterSettings;
pub use view::{TargetInput, TargetView};
