//! Wire types of the interfaces to callers, targets, engines and operators.
//!
//! Each interface has its own module, so that supporting another protocol for it changes one file.
//! All wire types can be encoded with self-describing formats such as JSON and with positional ones
//! such as postcard.

pub mod caller;
pub mod engine;
pub mod operator;
pub mod target;
pub mod tokens;

pub use caller::Outcome;
