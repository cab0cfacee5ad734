//! Calls that are forwarded to plain services; some of them run at most once.

mod at_most_once;
mod balance;
mod call;
mod handle;

pub use balance::ServiceBalancer;
pub use handle::handle_service_call;
