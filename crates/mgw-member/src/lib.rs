//! Gossip membership: views, target leases, anti-entropy exchanges and the entry addresses that
//! callers receive.
//!
//! Every node keeps a [`View`]. A target announces itself to any one node, usually an entry. That
//! node is the target's home: it grants the lease and publishes a [`Vouch`] for the target in its
//! own record. Nodes pull changed records and record ages from each other by [`Exchange`] and
//! [`ExchangeReply`]. Nothing here performs I/O: the time and the random seed are arguments.

mod addresses;
mod describe;
mod leaving;
mod message;
mod node;
mod record;
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
