//! Targets: who is known, connections, probes.

mod connections;
mod plain_choice;
mod probe;
mod roster;
mod send;

pub use connections::{Connections, Lent};
pub use plain_choice::{PlainChoice, PlainHold};
pub use probe::probe_hops;
pub use roster::{Roster, RosterTarget};
pub use send::{Answer, SendFailure, Sending, send};
