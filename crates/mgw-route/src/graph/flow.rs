//! Computes maximum flows over the groups of a graph.

use std::collections::BTreeMap;

use petgraph::algo::dinics;
use petgraph::graph::{DiGraph, EdgeIndex, NodeIndex};
use petgraph::visit::EdgeRef;

use super::build::{Graph, Group};

/// A transfer of activations from one place to another, or within one place, at a layer boundary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Transfer {
    /// First layer after the boundary.
    pub boundary: u16,
    /// Index of the place before the boundary.
    pub from: usize,
    /// Index of the place after the boundary.
    pub to: usize,
}

/// A flow through a graph, in flow units.
#[derive(Debug, Clone, Default)]
pub(crate) struct Flow {
    /// Total flow from the first layer to the last.
    pub total: u64,
    /// Flow through each group, by group index.
    pub groups: Vec<u64>,
    /// Flow over each transfer; transfers without flow are left out.
    pub transfers: BTreeMap<Transfer, u64>,
}

/// Upper limits of a flow, in flow units.
#[derive(Debug, Clone)]
pub(crate) struct Caps {
    /// Limit of each group, by group index.
    pub groups: Vec<u64>,
    /// Limit of each transfer; transfers without an entry are unlimited.
    pub transfers: BTreeMap<Transfer, u64>,
}

/// The flow network of a graph. Nodes and edges stay the same; only edge capacities change between
/// runs.
#[derive(Debug)]
pub(crate) struct Network {
    network: DiGraph<(), u64>,
    source: NodeIndex,
    sink: NodeIndex,
    groups: Vec<EdgeIndex>,
    transfers: BTreeMap<Transfer, EdgeIndex>,
    unlimited: u64,
}

/// Nodes where activations arrive at and leave a group, by boundary and place.
struct Ports {
    arrive: BTreeMap<(u16, usize), NodeIndex>,
    leave: BTreeMap<(u16, usize), NodeIndex>,
}

impl Network {
    /// Builds the network of `graph`. Groups and transfers have capacity zero until a run sets it.
    pub fn build(graph: &Graph) -> Self {
        let mut network = DiGraph::new();
        let source = network.add_node(());
        let sink = network.add_node(());
        let mut ports = Ports {
            arrive: BTreeMap::new(),
            leave: BTreeMap::new(),
        };
        let unlimited = graph.groups.iter().map(|group| group.capacity).sum();
        let add = |group: &Group| add_group(&mut network, &mut ports, group);
        let groups = graph.groups.iter().map(add).collect();
        for ((boundary, _), node) in &ports.arrive {
            if *boundary == 0 {
                network.add_edge(source, *node, unlimited);
            }
        }
        for ((boundary, _), node) in &ports.leave {
            if *boundary == graph.layers {
                network.add_edge(*node, sink, unlimited);
            }
        }
        let transfers = add_transfers(&mut network, &ports, unlimited);
        Self {
            network,
            source,
            sink,
            groups,
            transfers,
            unlimited,
        }
    }

    /// Returns all transfers of the network.
    pub fn transfers(&self) -> impl Iterator<Item = Transfer> + '_ {
        self.transfers.keys().copied()
    }

    /// Computes a maximum flow within the limits.
    pub fn solve(&mut self, caps: &Caps) -> Flow {
        let (total, flows) = self.max_flow(caps);
        let groups = self.groups.iter().map(|edge| flows[edge.index()]);
        let transfers = self
            .transfers
            .iter()
            .map(|(transfer, edge)| (*transfer, flows[edge.index()]));
        Flow {
            total,
            groups: groups.collect(),
            transfers: transfers.filter(|(_, flow)| *flow > 0).collect(),
        }
    }

    /// Returns the value of a maximum flow, and for each group whether its edge is on a minimum
    /// cut.
    pub fn min_cut(&mut self, caps: &Caps) -> (u64, Vec<bool>) {
        let (total, flows) = self.max_flow(caps);
        let reachable = self.find_reachable(&flows);
        let on_cut = self.groups.iter().map(|edge| {
            let ends = self.network.edge_endpoints(*edge);
            ends.is_some_and(|(from, to)| reachable[from.index()] && !reachable[to.index()])
        });
        (total, on_cut.collect())
    }

    /// Applies the limits and runs Dinic's algorithm; returns the total and the flow of each edge.
    fn max_flow(&mut self, caps: &Caps) -> (u64, Vec<u64>) {
        for (edge, cap) in self.groups.iter().zip(&caps.groups) {
            self.network[*edge] = *cap;
        }
        for (transfer, edge) in &self.transfers {
            self.network[*edge] = caps
                .transfers
                .get(transfer)
                .copied()
                .unwrap_or(self.unlimited);
        }
        dinics(&self.network, self.source, self.sink)
    }

    /// Marks the nodes that are reachable from the source in the residual network.
    fn find_reachable(&self, flows: &[u64]) -> Vec<bool> {
        let mut reachable = vec![false; self.network.node_count()];
        let mut unvisited = vec![self.source];
        reachable[self.source.index()] = true;
        while let Some(node) = unvisited.pop() {
            let forward = self.network.edges(node);
            let spare = forward.filter(|edge| flows[edge.id().index()] < *edge.weight());
            let onward = spare.map(|edge| edge.target());
            let backward = self.network.edges_directed(node, petgraph::Incoming);
            let used = backward.filter(|edge| flows[edge.id().index()] > 0);
            for next in onward.chain(used.map(|edge| edge.source())) {
                if !reachable[next.index()] {
                    reachable[next.index()] = true;
                    unvisited.push(next);
                }
            }
        }
        reachable
    }
}

/// Adds the edge of a group between the nodes at its two boundaries.
fn add_group(network: &mut DiGraph<(), u64>, ports: &mut Ports, group: &Group) -> EdgeIndex {
    let arrive = ports.arrive.entry((group.layers.first(), group.place));
    let from = *arrive.or_insert_with(|| network.add_node(()));
    let leave = ports.leave.entry((group.layers.end(), group.place));
    let to = *leave.or_insert_with(|| network.add_node(()));
    network.add_edge(from, to, 0)
}

/// Connects, at each boundary, every place that activations leave to every place that they may
/// enter.
///
/// A transfer between two places consists of two edges, so that shortest augmenting paths stay
/// within one place where that suffices.
fn add_transfers(
    network: &mut DiGraph<(), u64>,
    ports: &Ports,
    unlimited: u64,
) -> BTreeMap<Transfer, EdgeIndex> {
    let mut transfers = BTreeMap::new();
    for ((boundary, from), leave) in &ports.leave {
        let arrivals = ports.arrive.range((*boundary, 0)..=(*boundary, usize::MAX));
        for ((_, to), arrive) in arrivals {
            let transfer = Transfer {
                boundary: *boundary,
                from: *from,
                to: *to,
            };
            let end = if from == to {
                *arrive
            } else {
                let between = network.add_node(());
                network.add_edge(between, *arrive, unlimited);
                between
            };
            transfers.insert(transfer, network.add_edge(*leave, end, 0));
        }
    }
    transfers
}
