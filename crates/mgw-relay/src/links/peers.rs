//! The other entries over whose links this one may reach targets.

use std::collections::HashMap;
use std::net::SocketAddr;

use mgw_member::{NodePhase, NodeRole};
use mgw_world::Millis;
use rand::seq::SliceRandom;

use crate::app::App;

/// Largest number of entries that are asked for one connection.
const MAX_ASKED: usize = 4;
/// Time for which an entry isn't asked again that refused or didn't respond.
const REST_MS: Millis = Millis(1_000);

/// Entries that aren't asked for a while.
#[derive(Debug, Default)]
pub struct PeerRests(HashMap<SocketAddr, Millis>);

impl PeerRests {
    /// Leaves an entry out for a while.
    pub fn begin(&mut self, peer: SocketAddr, now: Millis) {
        self.0.retain(|_, until| now < *until);
        self.0.insert(peer, now + REST_MS);
    }

    /// Whether an entry may be asked.
    #[must_use]
    pub fn may_ask(&self, peer: SocketAddr, now: Millis) -> bool {
        self.0.get(&peer).is_none_or(|until| now >= *until)
    }
}

/// Chooses the entries to ask for a connection, in random order so that they share the load; those that are known to be
/// alive come first.
pub fn choose_peers(app: &App) -> Vec<SocketAddr> {
    let now = app.clock.now();
    let rests = app.links.rests.lock();
    let view = app.view.lock();
    let mut peers: Vec<(bool, SocketAddr)> = Vec::new();
    for node in view.nodes(now) {
        let info = node.info;
        let is_serving = info.role == NodeRole::Entry && info.phase == NodePhase::Serving;
        let is_other = info.name != app.settings.name;
        let may_ask = !node.refuses_connections && rests.may_ask(info.peer_address, now);
        if is_serving && is_other && may_ask {
            peers.push((!node.is_alive, info.peer_address));
        }
    }
    drop(view);
    drop(rests);
    peers.shuffle(&mut rand::rng());
    peers.sort_by_key(|(is_silent, _)| *is_silent);
    let chosen = peers.into_iter().take(MAX_ASKED);
    chosen.map(|(_, peer)| peer).collect()
}
