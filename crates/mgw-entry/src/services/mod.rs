//! Calls that are passed through to plain services; some of them run at most once.

mod balance;
mod call;
mod handle;
mod once;

pub use balance::PlainBalance;
pub use handle::handle_service_call;
