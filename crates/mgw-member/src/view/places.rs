//! Nodes and places as this node hears them: alive, silent, gone, or cut off as a whole.

use std::collections::BTreeMap;

use mgw_world::{Millis, PlaceName};

use super::core::View;
use crate::{NodeId, NodeInfo, NodePhase, VouchState};

/// A node as this node hears it.
#[derive(Debug, Clone, Copy)]
pub struct NodeStatus<'a> {
    /// The node as it describes itself.
    pub info: &'a NodeInfo,
    /// Age of the news of it.
    pub age_ms: Millis,
    /// Whether the news is young enough to take it for alive.
    pub is_alive: bool,
    /// Whether nothing listens at its address any more.
    pub refuses_connections: bool,
    /// Since when its incarnation is known here.
    pub known_since: Millis,
}

/// How much of a place is heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceStatus {
    /// The place.
    pub place: PlaceName,
    /// Nodes believed to be there, other than this one.
    pub nodes: usize,
    /// Those of them that are silent.
    pub silent_nodes: usize,
    /// Targets known there.
    pub targets: usize,
    /// Those of them whose lease ran out or whose home is silent.
    pub silent_targets: usize,
    /// Whether the whole place is silent, which points to the network and not to its machines.
    pub is_cut_off: bool,
}

/// Fewest members of a place whose common silence points to the network.
const CUT_OFF_MEMBERS: usize = 3;

impl View {
    /// All nodes known here, this one included, in order of id.
    #[must_use]
    pub fn nodes(&self, now: Millis) -> Vec<NodeStatus<'_>> {
        let ids = self.origins.keys();
        ids.filter_map(|id| self.node_status(*id, now)).collect()
    }

    /// The places of the known nodes and targets, in order of name.
    #[must_use]
    pub fn places(&self, now: Millis) -> Vec<PlaceStatus> {
        let mut places = BTreeMap::new();
        for node in self.nodes(now) {
            if node.info.name == self.me().name || !self.is_presumed_alive(&node) {
                continue;
            }
            let status = place_entry(&mut places, &node.info.place);
            status.nodes += 1;
            status.silent_nodes += usize::from(!node.is_alive);
        }
        for target in self.targets(now) {
            let status = place_entry(&mut places, &target.target.place);
            let silent =
                target.state == VouchState::Lapsed || target.age_ms > self.settings.alive_ms;
            status.targets += 1;
            status.silent_targets += usize::from(silent);
        }
        let mut places: Vec<PlaceStatus> = places.into_values().collect();
        for status in &mut places {
            let members = status.nodes + status.targets;
            let silent = status.silent_nodes + status.silent_targets;
            status.is_cut_off = members >= CUT_OFF_MEMBERS && members == silent;
        }
        places
    }

    /// Whether this node has heard fewer than half of the others for some time, while they are
    /// believed to be alive.
    #[must_use]
    pub fn is_cut_off(&self, now: Millis) -> bool {
        self.minority_since
            .is_some_and(|since| now - since >= self.settings.cut_off_after_ms)
    }

    /// Whether no other node is believed to be alive.
    #[must_use]
    pub fn is_alone(&self, now: Millis) -> bool {
        self.count_others(now).0 == 0
    }

    pub(crate) fn follow_reachability(&mut self, now: Millis) {
        let (believed, heard) = self.count_others(now);
        if heard * 2 >= believed {
            self.minority_since = None;
        } else if self.minority_since.is_none() {
            self.minority_since = Some(now);
        }
    }

    /// Whether a node counts as alive somewhere: heard lately, not refused and not leaving.
    pub(crate) fn is_presumed_alive(&self, node: &NodeStatus<'_>) -> bool {
        node.info.phase != NodePhase::Leaving
            && (node.is_alive || !node.refuses_connections)
            && node.age_ms <= self.settings.believed_ms
    }

    fn count_others(&self, now: Millis) -> (usize, usize) {
        let nodes = self.nodes(now);
        let me = &self.me().name;
        let others = nodes.iter().filter(|node| node.info.name != *me);
        let believed: Vec<_> = others.filter(|node| self.is_presumed_alive(node)).collect();
        let heard = believed.iter().filter(|node| node.is_alive).count();
        (believed.len(), heard)
    }

    fn node_status(&self, id: NodeId, now: Millis) -> Option<NodeStatus<'_>> {
        let origin = self.origins.get(&id)?;
        let age_ms = self.age_of(id, origin, now);
        Some(NodeStatus {
            info: &origin.info,
            age_ms,
            is_alive: age_ms <= self.settings.alive_ms,
            refuses_connections: self
                .exchanges
                .refused
                .contains_key(&origin.info.peer_address),
            known_since: origin.known_since,
        })
    }
}

fn place_entry<'a>(
    places: &'a mut BTreeMap<PlaceName, PlaceStatus>,
    place: &PlaceName,
) -> &'a mut PlaceStatus {
    places.entry(place.clone()).or_insert_with(|| PlaceStatus {
        place: place.clone(),
        nodes: 0,
        silent_nodes: 0,
        targets: 0,
        silent_targets: 0,
        is_cut_off: false,
    })
}
