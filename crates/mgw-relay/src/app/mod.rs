//! State shared by all request handlers and background tasks of a relay.

mod load;
mod state;

pub use state::App;
