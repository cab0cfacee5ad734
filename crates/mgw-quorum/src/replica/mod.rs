//! The replica as a state machine without I/O, a file for each job.

mod election;
mod follower;
mod leader;
mod members;
mod output;
mod reads;
mod state;

pub use output::{DiskWrite, Output, ReadyRead, RoleChange};
pub use state::{Replica, Role};
