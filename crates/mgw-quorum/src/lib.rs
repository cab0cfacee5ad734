//! Replicated log of the control VMs: a pure state machine, and the files that make it durable.
//!
//! [`Replica`] decides and does no I/O. A shell feeds it messages and time, writes what
//! [`Replica::take_output`] returns with [`Storage::write`], reports the sync with
//! [`Replica::confirm_synced`], and sends the messages.

mod entry;
mod error;
mod ids;
mod log;
mod message;
mod replica;
mod settings;
mod storage;

pub use entry::{Entry, HardState, Membership, Payload, RecoveredState, Snapshot, SnapshotMeta};
pub use error::{Damage, QuorumError};
pub use ids::{Index, ReadToken, ReplicaId, Round, Term, WriteId};
pub use message::{
    Append, AppendOutcome, AppendReply, Envelope, InstallChunk, InstallReply, Message, VoteReply,
    VoteRequest,
};
pub use replica::{DiskWrite, Output, ReadyRead, Replica, Role, RoleChange};
pub use settings::{InjectedFault, ReadMode, Settings};
pub use storage::{Storage, StorageError, SyncHook, SyncPoint};
