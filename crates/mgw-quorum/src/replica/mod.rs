//! The replica as a state machine without I/O. Each file holds the part of it for one task.

mod election;
mod follower;
mod leader;
mod membership;
mod output;
mod reads;
mod state;

pub use output::{DiskWrite, Output, ReadyRead, RoleChange};
pub use state::{Replica, Role};
