//! Wire types towards callers, targets, the platform and operators.
//!
//! One module for each side, so that another dialect of a side is a change to one file. All types
//! serialize with self-describing and positional codecs alike.

pub mod caller;
pub mod engine;
pub mod operator;
pub mod target;
pub mod tokens;

pub use caller::Outcome;
