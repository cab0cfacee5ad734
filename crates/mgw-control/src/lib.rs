//! Holds the durable state on a machine with a disk: `mgw-control`.

mod app;
mod duties;
mod founding;
mod members;
mod metrics;
mod operator;
mod orders;
mod peers;
mod replica;
mod run;
mod settings;

pub use run::{RunError, run_control};
pub use settings::{ControlSettings, Peer, QuorumSettings};
