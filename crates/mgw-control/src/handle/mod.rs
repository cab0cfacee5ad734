//! Calls that an adapter makes on behalf of targets, callers and operators that use another
//! protocol.

mod addresses;
mod announcement_check;
mod control_handle;
mod routing;
mod submit;
mod targets;

pub use announcement_check::AnnouncementFault;
pub use control_handle::ControlHandle;
pub use routing::AcceptError;
pub use submit::{leader_address, submit_anywhere};
pub use targets::{AnnounceError, LeaveError};
