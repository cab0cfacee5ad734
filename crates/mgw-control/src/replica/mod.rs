//! The replica as an actor, its disk as a thread, and the senders to the other controls.

mod actor;
mod disk;
mod handle;
mod message;
mod senders;

pub use actor::{ReplicaActor, ReplicaStart};
pub use handle::{ReplicaHandle, SharedState, start_state};
pub use message::{MemberChange, ReplicaMessage, ReplicaReport};
pub use senders::Senders;
