//! The router of an entry: takes models, links and targets, and chooses paths.

mod facade;
mod fleet;
mod path_search;
mod prefix_choice;
mod prefix_load_limit;
mod refresh;
mod reserve;
mod routing_table;
mod settings;
mod view;

pub use facade::Router;
pub(crate) use fleet::TargetKey;
pub use settings::{PrefixRule, RouterSettings};
pub use view::{TargetInput, TargetView};
