//! Membership views, leases, spreading and the addresses given to callers.
//!
//! Every node keeps a [`View`]. Targets announce themselves to any entry; that entry is their home
//! and vouches for them. Nodes pull differences and ages from each other by [`Exchange`] and
//! [`ExchangeReply`]. Nothing here performs I/O: the time and the seed are arguments.

mod addresses;
mod describe;
mod leaving;
mod message;
mod node;
mod origin;
mod settings;
mod trust;
mod view;

pub use addresses::{
    AddressSettings, Availability, choose_addresses, determine_availability, hash_caller,
};
pub use leaving::{AbortCause, Leaving, LeavingPhase, LeavingSettings, PendingWork};
pub use message::{
    Age, BucketReply, Exchange, ExchangeReply, LoadLevel, NodeDelta, NodeSummary, TargetChange,
    Vouch, VouchState, Want,
};
pub use node::{NodeId, NodeInfo, NodePhase, NodeRole};
pub use settings::MemberSettings;
pub use trust::{Trust, TrustSettings};
pub use view::{
    AnnounceOutcome, EligibleTarget, ExchangeFailure, ExchangeTicket, IneligibleReason, NodeStatus,
    OutgoingExchange, PlaceStatus, TargetStatus, View,
};
