//! Membership of the group of controls: who joins, who is promoted or removed, who leaves.

mod addresses;
mod join;
mod leave;
mod membership;

pub use addresses::list_other_controls;
pub use join::{JoinState, join_if_needed};
pub use leave::{handle_leave, leave_group};
pub use membership::{MembershipState, update_membership};
