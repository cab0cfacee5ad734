//! The replica as an actor, the thread that writes its data folder, and the queues of messages to
//! the other controls.

mod actor;
mod describe;
mod disk;
mod handle;
mod message;
mod senders;

pub use actor::{ReplicaActor, ReplicaActorArgs};
pub use handle::{ReplicaHandle, SharedState, empty_state};
pub use message::{ReplicaMessage, ReplicaReport};
pub use senders::Senders;
