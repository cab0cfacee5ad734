//! What the parts of a control share.

use std::net::SocketAddr;
use std::sync::Arc;

use mgw_member::View;
use mgw_peer::PeerPool;
use mgw_route::EntryLoadTable;
use mgw_serve::Shutdown;
use mgw_world::Clock;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::replica::ReplicaHandle;
use crate::settings::ControlSettings;

/// What the parts of a control share.
pub struct App {
    /// Settings of the process.
    pub settings: ControlSettings,
    /// The clock.
    pub clock: Clock,
    /// Tokens that end the process.
    pub shutdown: Shutdown,
    /// The replica.
    pub replica: ReplicaHandle,
    /// What is believed of nodes and targets.
    pub view: Arc<Mutex<View>>,
    /// Connections to the other processes.
    pub pool: Arc<PeerPool>,
    /// Other controls that were known at the last look.
    pub controls: Mutex<Vec<SocketAddr>>,
    /// Entries' use of targets.
    pub uses: Mutex<EntryLoadTable>,
    /// Notified when a target's state changes here.
    pub news: Notify,
    /// Metrics.
    pub metrics: Metrics,
}
