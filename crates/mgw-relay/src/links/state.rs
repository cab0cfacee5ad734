//! What the tasks of an entry share about its links.

use std::sync::Arc;

use mgw_world::Millis;
use parking_lot::Mutex;
use tokio::sync::{Notify, Semaphore, watch};

use super::health::{LinkChange, LinkCheck, LinkHealth};
use super::peers::PeerRests;

/// Largest number of tunnels that an entry serves for others at the same time, so that its own callers keep their
/// room.
const MAX_TUNNELS: usize = 128;

/// State of the entry's own links.
#[derive(Debug)]
pub struct Links {
    /// Entries that aren't asked for tunnels for a while.
    pub rests: Mutex<PeerRests>,
    /// Room for tunnels of other entries.
    pub tunnel_room: Arc<Semaphore>,
    /// Notified when a check is due.
    pub check_due: Notify,
    health: Mutex<LinkHealth>,
    /// Number of the last check that ended.
    checks: watch::Sender<u64>,
}

impl Default for Links {
    fn default() -> Self {
        Self {
            rests: Mutex::default(),
            tunnel_room: Arc::new(Semaphore::new(MAX_TUNNELS)),
            check_due: Notify::new(),
            health: Mutex::default(),
            checks: watch::Sender::new(0),
        }
    }
}

impl Links {
    /// What the entry believes now.
    #[must_use]
    pub fn health(&self) -> LinkHealth {
        *self.health.lock()
    }

    /// Records a check and wakes those that wait for it.
    pub fn record(&self, check: LinkCheck, now: Millis) -> Option<LinkChange> {
        let change = self.health.lock().record(check, now);
        self.checks.send_modify(|number| *number += 1);
        change
    }

    /// Records that a connection to a target was opened.
    pub fn record_opened(&self, now: Millis) {
        self.health.lock().record_opened(now);
    }

    /// Finds out whether the links were cut when a connection failed that was begun at `began_at`.
    pub async fn explain_failure(&self, began_at: Millis) -> LinkHealth {
        let health = self.health();
        if health.is_cut() || health.was_sound_at(began_at) {
            return health;
        }
        let mut checks = self.checks.subscribe();
        self.check_due.notify_one();
        // The sender lives as long as `self`.
        let _ = checks.changed().await;
        self.health()
    }
}
