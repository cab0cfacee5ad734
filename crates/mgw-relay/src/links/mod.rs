//! The entry's own links to targets: whether they work, and the way over another entry's links while they don't.
//!
//! A connection that can't be established has two possible causes, the target and the entry's own links. The entry
//! finds out which before it believes either, so that a cut of its own links is not taken for the end of all targets.

mod check;
mod connect;
mod health;
mod peers;
mod serve_tunnel;
mod state;

pub use check::run_link_checks;
pub use connect::TargetLink;
pub use health::{LinkChange, LinkCheck, LinkHealth};
pub use serve_tunnel::tunnel_handler;
pub use state::Links;
