//! Calls that an adapter makes for targets, callers and operators of another dialect.

mod addresses;
mod handle;
mod routing;
mod targets;

pub use handle::Gateway;
