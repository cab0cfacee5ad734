//! Holds the durable state on a machine with a disk: `mgw-control`.

mod app;
mod duties;
mod founding;
mod gateway;
mod members;
mod metrics;
mod operator;
mod orders;
mod peers;
mod placement;
mod replica;
mod run;
mod settings;
mod watches;

pub use gateway::Gateway;
pub use placement::{OrderCall, PlacementCalls};
pub use run::{Control, Founding, RunError, run_control, start_control};
pub use settings::{ControlSettings, Peer, QuorumSettings};
