//! The entry's view of nodes and targets.

use std::sync::Arc;

use mgw_contract::caller::{AddressesReply, EntryAddress};
use mgw_member::{
    AddressSettings, MemberSettings, NodeInfo, NodePhase, NodeRole, View, choose_addresses,
};
use mgw_world::{Clock, Incarnation, Millis, NodeName, PlaceName, Revision};
use parking_lot::Mutex;

use crate::settings::EntrySettings;

/// The view, shared with the task that spreads it.
#[derive(Debug, Clone)]
pub struct Members {
    /// The view.
    pub view: Arc<Mutex<View>>,
    /// This start of the entry.
    pub incarnation: Incarnation,
}

impl Members {
    /// Starts a view that knows the addresses of the other processes.
    #[must_use]
    pub fn new(settings: &EntrySettings, seed: u64, now: Millis) -> Self {
        let incarnation = Incarnation(Clock::wall().0);
        let me = NodeInfo {
            name: NodeName::from(settings.name.as_str()),
            role: NodeRole::Entry,
            place: settings.place.clone(),
            incarnation,
            peer_address: settings.peer_listen,
            url: settings.url(),
            weight: settings.weight,
            phase: NodePhase::Starting,
            revision: Revision(0),
        };
        let peers = settings.peers.iter().chain(&settings.controls);
        let seeds: Vec<_> = peers.map(|peer| peer.address).collect();
        let view = View::new(MemberSettings::default(), me, &seeds, seed, now);
        Self {
            view: Arc::new(Mutex::new(view)),
            incarnation,
        }
    }

    /// Entries that a caller may use.
    #[must_use]
    pub fn choose(
        &self,
        valid_ms: Millis,
        place: Option<&PlaceName>,
        caller_hash: u64,
        now: Millis,
    ) -> AddressesReply {
        let settings = AddressSettings {
            valid_ms,
            ..AddressSettings::default()
        };
        choose_addresses(&self.view.lock(), &settings, place, caller_hash, now)
    }

    /// Entries other than this one.
    #[must_use]
    pub fn other_entries(&self, caller_hash: u64, now: Millis) -> Vec<EntryAddress> {
        let me = self.view.lock().own_info().name.clone();
        let mut entries = self.choose(Millis::ZERO, None, caller_hash, now).entries;
        entries.retain(|entry| entry.name.as_str() != me.as_str());
        entries
    }
}
