//! Reverse proxy that passes callers' requests on to targets and their answers back.

mod admission;
mod app;
mod balance;
mod callers;
mod dialect;
mod drain;
mod follow;
mod held_answers;
mod links;
mod metrics;
mod plain;
mod quarantine;
mod rate_limits;
mod relay;
mod request_sends;
mod retries;
mod settings;
mod stream;
mod targets;
mod wait_limits;
mod waiters;

pub use balance::OtherEntriesRequests;
pub use dialect::{
    AnswerHead, CallerHead, Dialect, RelayAdapter, RequestedPause, StatedLimit, TargetHead,
};
pub use follow::{ReloadControls, RoutingSource, RoutingSources};
pub use links::{LinkChange, LinkCheck, LinkHealth};
pub use relay::{Relay, RunError};
pub use request_sends::{RequestSends, SendOutcome};
pub use retries::ServiceRetries;
pub use settings::RelaySettings;
pub use stream::{EventFault, EventOrder, EventSplitter, PauseAction, PauseLimits};
pub use targets::{Dial, NoTarget, PlainBalancer, PlainReservation, UsableTarget, UsableTargets};
pub use wait_limits::WaitLimits;
