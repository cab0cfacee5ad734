//! Passes callers' requests on to targets and their answers back.

mod app;
mod balance;
mod callers;
mod dialect;
mod follow;
mod leave;
mod metrics;
mod plain;
mod run;
mod settings;
mod stream;
mod targets;
mod tries;
mod waiting;

pub use balance::EntriesLoad;
pub use dialect::{AnswerHead, CallerHead, Dialect, RelayCalls, TargetHead};
pub use follow::{FindControls, RoutingSource, RoutingSources};
pub use run::{Relay, RunError};
pub use settings::RelaySettings;
pub use stream::{EventFault, EventOrder, Patience, PauseVerdict, Splitter};
pub use targets::{Roster, RosterTarget};
pub use tries::{Tries, TryEnd};
pub use waiting::Waiting;
