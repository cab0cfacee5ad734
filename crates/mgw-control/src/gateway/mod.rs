//! Calls that an adapter makes on behalf of targets, callers and operators that use another
//! protocol.

mod addresses;
mod handle;
mod routing;
mod targets;

pub use handle::Gateway;
