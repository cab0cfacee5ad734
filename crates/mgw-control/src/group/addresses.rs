//! Addresses at which the other controls may be found.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use mgw_member::NodeRole;

use crate::app::App;

/// Addresses of the other controls: first those in the settings, then those in the view.
pub fn list_other_controls(app: &App) -> Vec<SocketAddr> {
    let own_address = app.settings.peer_listen;
    let mut addresses: Vec<SocketAddr> = app
        .settings
        .controls
        .iter()
        .map(|peer| peer.address)
        .collect();
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let controls = nodes.iter();
    let controls = controls.filter(|node| node.info.role == NodeRole::Control);
    addresses.extend(controls.map(|node| node.info.peer_address));
    addresses.retain(|address| *address != own_address);
    let mut unique = BTreeSet::new();
    addresses.retain(|address| unique.insert(*address));
    addresses
}
