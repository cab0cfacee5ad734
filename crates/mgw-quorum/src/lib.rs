//! Replicated log of the control VMs, in the manner of Raft: a pure state machine, and the files
//! that make it durable.
//!
//! [`Replica`] implements the algorithm and does no I/O. Its caller, the shell, passes it messages
//! and the current time, calls [`Replica::take_output`], writes the returned changes with
//! [`Storage::write`], reports the sync with [`Replica::confirm_synced`], and sends the messages.

mod entry;
mod error;
mod ids;
mod log;
mod member_plan;
mod message;
mod replica;
mod settings;
mod storage;

pub use entry::{Entry, HardState, Membership, Payload, RecoveredState, Snapshot, SnapshotMeta};
pub use error::{Damage, QuorumError};
pub use ids::{Index, ReadToken, ReplicaId, Round, Term, WriteId};
pub use member_plan::{GroupStatus, MemberChange, MemberPlanner};
pub use message::{
    AppendEntries, AppendEntriesReply, AppendOutcome, Envelope, InstallSnapshot,
    InstallSnapshotReply, Message, VoteReply, VoteRequest,
};
pub use replica::{DiskWrite, Output, ReadyRead, Replica, Role, RoleChange};
pub use settings::{InjectedFault, ReadMode, Settings};
pub use storage::{FileHook, FilePoint, FileStep, Storage, StorageError};
