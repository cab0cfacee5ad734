//! State shared by all tasks of a control.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use mgw_member::View;
use mgw_peer::PeerPool;
use mgw_route::{EntryLoadTable, QuarantineTable, RateLimitTable};
use mgw_routing::TransferableRoutings;
use mgw_serve::Shutdown;
use mgw_world::{Clock, Subject};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::replica::ReplicaHandle;
use crate::settings::ControlSettings;

/// State shared by all tasks of a control.
pub struct App {
    /// Settings of the process.
    pub settings: ControlSettings,
    /// Monotonic clock of the process; all `Millis` here are on it.
    pub clock: Clock,
    /// Cancellation tokens that stop the process, gracefully or at once.
    pub shutdown: Shutdown,
    /// Handle of the actor that owns this control's replica.
    pub replica: ReplicaHandle,
    /// This process's view of nodes and targets, as gossip and announcements report them.
    pub view: Arc<Mutex<View>>,
    /// Connections to the other processes.
    pub pool: Arc<PeerPool>,
    /// Addresses of the other controls, refreshed periodically and sent to the processes that
    /// watch this one.
    pub other_controls: Mutex<Vec<SocketAddr>>,
    /// Load on the targets as each entry last reported it.
    pub entry_loads: Mutex<EntryLoadTable>,
    /// Rate limits of targets and the tokens for them.
    pub rate_limits: Mutex<RateLimitTable>,
    /// Number of entries that the view shows, refreshed periodically.
    pub entries_in_view: AtomicU32,
    /// Evidence of all entries on what targets end under.
    pub quarantine: Mutex<QuarantineTable>,
    /// Subjects that are being committed to the quarantine.
    pub quarantining: Mutex<BTreeSet<Subject>>,
    /// Routing documents that entries may still be fetching.
    pub transferable: Mutex<TransferableRoutings>,
    /// Notified when a target's announcement changes this control's record in the view.
    pub view_changed: Notify,
    /// Metrics of the process.
    pub metrics: Metrics,
}
