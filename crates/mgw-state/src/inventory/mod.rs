//! The inventory and rules that operators write, and their check as a whole.

mod check;
mod objects;
mod operator;
mod rules;

pub use objects::{ExpectedDuty, ExpectedTarget, Holding, Inventory};
pub use operator::{Operator, hash_key};
pub use rules::{LedgerRules, RequestRules, Rules};
