//! The control's view of the cluster and its own record in it.

use std::sync::Arc;

use mgw_member::{NodeInfo, NodePhase, NodeRole, View};
use mgw_world::{Clock, Incarnation, Millis, Revision};
use parking_lot::Mutex;

use crate::settings::ControlSettings;

/// Creates the view of a control, with its own record and the other controls as gossip seeds.
pub fn create_view(settings: &ControlSettings, seed: u64, now: Millis) -> Arc<Mutex<View>> {
    let own_info = NodeInfo {
        name: settings.name.clone(),
        role: NodeRole::Control,
        place: settings.place.clone(),
        incarnation: Incarnation(Clock::wall().0),
        peer_address: settings.peer_listen,
        url: settings.url.clone(),
        weight: 0,
        phase: NodePhase::Serving,
        revision: Revision(0),
    };
    let seeds: Vec<_> = settings.controls.iter().map(|peer| peer.address).collect();
    Arc::new(Mutex::new(View::new(
        settings.members.clone(),
        own_info,
        &seeds,
        seed,
        now,
    )))
}
