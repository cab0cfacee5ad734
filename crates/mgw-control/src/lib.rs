//! `mgw-control`: the process that holds a replica of the durable state (configuration, ledger and
//! audit trail) on a machine with a disk.

mod admission;
mod app;
mod data_folder;
mod founding;
mod group;
mod handle;
mod leaving_targets;
mod maintenance;
mod metrics;
mod operator;
mod orders;
mod peers;
mod placement;
mod quarantine;
mod rate_limits;
mod replica;
mod run;
mod settings;
mod view;
mod watches;

pub use handle::{AcceptError, AnnounceError, AnnouncementFault, ControlHandle, LeaveError};
pub use placement::{OrderCall, PlacementCalls};
pub use run::{Control, Founding, RunError, run_control, start_control};
pub use settings::{ControlSettings, Peer, QuorumSettings};
