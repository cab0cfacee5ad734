//! The entry's view of the nodes and targets.

use std::sync::Arc;

use mgw_contract::caller::{AddressesReply, EntryAddress};
use mgw_member::{
    AddressSettings, MemberSettings, NodeInfo, NodePhase, NodeRole, View, choose_addresses,
};
use mgw_world::{Clock, Incarnation, Millis, NodeName, PlaceName, Revision};
use parking_lot::Mutex;

use crate::settings::EntrySettings;

/// The view, shared with the task that exchanges it with other processes.
#[derive(Debug, Clone)]
pub struct Members {
    /// View of the nodes and targets.
    pub view: Arc<Mutex<View>>,
    /// Incarnation of this process, from the wall clock at its start.
    pub incarnation: Incarnation,
}

impl Members {
    /// Creates a view that starts from the peer addresses in the settings.
    #[must_use]
    pub fn new(settings: &EntrySettings, seed: u64, now: Millis) -> Self {
        let incarnation = Incarnation(Clock::wall().0);
        let own_info = NodeInfo {
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
        let view = View::new(MemberSettings::default(), own_info, &seeds, seed, now);
        Self {
            view: Arc::new(Mutex::new(view)),
            incarnation,
        }
    }

    /// Chooses the entries that a caller should use.
    #[must_use]
    pub fn choose_entries(
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

    /// Chooses entries other than this one.
    #[must_use]
    pub fn other_entries(&self, caller_hash: u64, now: Millis) -> Vec<EntryAddress> {
        let own_name = self.view.lock().own_info().name.clone();
        let mut entries = self
            .choose_entries(Millis::ZERO, None, caller_hash, now)
            .entries;
        entries.retain(|entry| entry.name.as_str() != own_name.as_str());
        entries
    }
}
