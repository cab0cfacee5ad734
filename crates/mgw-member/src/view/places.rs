//! Status of nodes and places in this view: alive, silent, refusing connections, or cut off.

use std::collections::BTreeMap;

use mgw_world::{Millis, PlaceName};

use super::core::View;
use crate::{NodeId, NodeInfo, NodePhase, NodeRole, VouchState};

/// Status of a node in this view.
#[derive(Debug, Clone, Copy)]
pub struct NodeStatus<'a> {
    /// Description that the node published.
    pub info: &'a NodeInfo,
    /// Time since the node's record was last confirmed as current.
    pub age_ms: Millis,
    /// Whether the record is fresh enough for the node to count as alive.
    pub is_alive: bool,
    /// Whether its address refused a connection and there was no contact with it since.
    pub refuses_connections: bool,
    /// When this node first learned of the incarnation.
    pub known_since: Millis,
}

/// Status of a place in this view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceStatus {
    /// Name of the place.
    pub place: PlaceName,
    /// Number of nodes in the place that are presumed alive, without this node.
    pub nodes: usize,
    /// Number of these nodes that are silent.
    pub silent_nodes: usize,
    /// Number of known targets in the place.
    pub targets: usize,
    /// Number of these targets whose lease expired or whose home is silent.
    pub silent_targets: usize,
    /// Whether the whole place is silent, which indicates a network fault rather than failed
    /// machines.
    pub is_cut_off: bool,
}

/// Minimum number of nodes and targets in a place for their common silence to count as a network
/// fault.
const CUT_OFF_MEMBERS: usize = 3;

impl View {
    /// All known nodes, including this one, in order of id.
    #[must_use]
    pub fn nodes(&self, now: Millis) -> Vec<NodeStatus<'_>> {
        let ids = self.records.keys();
        ids.filter_map(|id| self.node_status(*id, now)).collect()
    }

    /// The places of the known nodes and targets, in order of name.
    #[must_use]
    pub fn places(&self, now: Millis) -> Vec<PlaceStatus> {
        let mut places = BTreeMap::new();
        for node in self.nodes(now) {
            if node.info.name == self.own_info().name || !self.is_presumed_alive(&node) {
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

    /// Whether this view has seen fewer than half of the nodes that are presumed alive as alive for
    /// `cut_off_after_ms`.
    #[must_use]
    pub fn is_cut_off(&self, now: Millis) -> bool {
        self.minority_since
            .is_some_and(|since| now - since >= self.settings.cut_off_after_ms)
    }

    /// Whether no other node is presumed alive.
    #[must_use]
    pub fn is_alone(&self, now: Millis) -> bool {
        self.count_other_nodes(now).0 == 0
    }

    /// Number of entries that are presumed alive, also on the other side of a partition.
    #[must_use]
    pub fn count_presumed_entries(&self, now: Millis) -> u32 {
        let nodes = self.nodes(now);
        let entries = nodes
            .iter()
            .filter(|node| node.info.role == NodeRole::Entry && self.is_presumed_alive(node));
        u32::try_from(entries.count()).unwrap_or(u32::MAX)
    }

    pub(crate) fn update_reachability(&mut self, now: Millis) {
        let (presumed_alive, alive) = self.count_other_nodes(now);
        if alive * 2 >= presumed_alive {
            self.minority_since = None;
        } else if self.minority_since.is_none() {
            self.minority_since = Some(now);
        }
    }

    /// Whether a node is presumed alive, perhaps on the other side of a partition: its record was
    /// confirmed within `believed_ms`, it isn't leaving, and it is alive or refuses no connections.
    pub(crate) fn is_presumed_alive(&self, node: &NodeStatus<'_>) -> bool {
        node.info.phase != NodePhase::Leaving
            && (node.is_alive || !node.refuses_connections)
            && node.age_ms <= self.settings.believed_ms
    }

    /// Numbers of other nodes that are presumed alive, and of those among them that are alive.
    fn count_other_nodes(&self, now: Millis) -> (usize, usize) {
        let nodes = self.nodes(now);
        let own_name = &self.own_info().name;
        let other_nodes = nodes.iter().filter(|node| node.info.name != *own_name);
        let presumed_alive: Vec<_> = other_nodes
            .filter(|node| self.is_presumed_alive(node))
            .collect();
        let alive = presumed_alive.iter().filter(|node| node.is_alive).count();
        (presumed_alive.len(), alive)
    }

    fn node_status(&self, id: NodeId, now: Millis) -> Option<NodeStatus<'_>> {
        let record = self.records.get(&id)?;
        let age_ms = self.age_of(id, record, now);
        Some(NodeStatus {
            info: &record.info,
            age_ms,
            is_alive: age_ms <= self.settings.alive_ms,
            refuses_connections: self
                .exchanges
                .refused_addresses
                .contains_key(&record.info.peer_address),
            known_since: record.known_since,
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
