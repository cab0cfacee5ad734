//! Maximum flow over the groups of a graph.

use std::collections::BTreeMap;

use petgraph::algo::dinics;
use petgraph::graph::{DiGraph, EdgeIndex, NodeIndex};
use petgraph::visit::EdgeRef;

use super::build::{Graph, Group};

/// A passage from place to place at a layer boundary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Hop {
    /// First layer after the boundary.
    pub boundary: u16,
    /// Index of the place before it.
    pub from: usize,
    /// Index of the place after it.
    pub to: usize,
}

/// A flow through a graph, in flow units.
#[derive(Debug, Clone, Default)]
pub(crate) struct Flow {
    /// Flow from the first layer to the last.
    pub total: u64,
    /// Flow through each group.
    pub groups: Vec<u64>,
    /// Flow over each hop.
    pub hops: BTreeMap<Hop, u64>,
}

/// Upper limits of a flow, in flow units.
#[derive(Debug, Clone)]
pub(crate) struct Caps {
    /// Limit of each group.
    pub groups: Vec<u64>,
    /// Limit of each hop; hops that aren't listed are unlimited.
    pub hops: BTreeMap<Hop, u64>,
}

/// The network of a graph: its edges stand still while their capacities change.
#[derive(Debug)]
pub(crate) struct Network {
    network: DiGraph<(), u64>,
    source: NodeIndex,
    sink: NodeIndex,
    groups: Vec<EdgeIndex>,
    hops: BTreeMap<Hop, EdgeIndex>,
    unlimited: u64,
}

/// Nodes where activations arrive and leave, by boundary and place.
struct Ports {
    arrive: BTreeMap<(u16, usize), NodeIndex>,
    leave: BTreeMap<(u16, usize), NodeIndex>,
}

impl Network {
    /// Builds the network of a graph, with every capacity still zero.
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
        let hops = add_hops(&mut network, &ports, unlimited);
        Self {
            network,
            source,
            sink,
            groups,
            hops,
            unlimited,
        }
    }

    /// All hops of the network.
    pub fn hops(&self) -> impl Iterator<Item = Hop> + '_ {
        self.hops.keys().copied()
    }

    /// A largest flow within the limits.
    pub fn solve(&mut self, caps: &Caps) -> Flow {
        let (total, flows) = self.run(caps);
        let groups = self.groups.iter().map(|edge| flows[edge.index()]);
        let hops = self
            .hops
            .iter()
            .map(|(hop, edge)| (*hop, flows[edge.index()]));
        Flow {
            total,
            groups: groups.collect(),
            hops: hops.filter(|(_, flow)| *flow > 0).collect(),
        }
    }

    /// The value of a largest flow, and for each group whether it crosses a smallest cut.
    pub fn cut(&mut self, caps: &Caps) -> (u64, Vec<bool>) {
        let (total, flows) = self.run(caps);
        let reached = self.reach(&flows);
        let crosses = self.groups.iter().map(|edge| {
            let ends = self.network.edge_endpoints(*edge);
            ends.is_some_and(|(from, to)| reached[from.index()] && !reached[to.index()])
        });
        (total, crosses.collect())
    }

    fn run(&mut self, caps: &Caps) -> (u64, Vec<u64>) {
        for (edge, cap) in self.groups.iter().zip(&caps.groups) {
            self.network[*edge] = *cap;
        }
        for (hop, edge) in &self.hops {
            self.network[*edge] = caps.hops.get(hop).copied().unwrap_or(self.unlimited);
        }
        dinics(&self.network, self.source, self.sink)
    }

    /// Nodes that more flow could reach.
    fn reach(&self, flows: &[u64]) -> Vec<bool> {
        let mut reached = vec![false; self.network.node_count()];
        let mut open = vec![self.source];
        reached[self.source.index()] = true;
        while let Some(node) = open.pop() {
            let forward = self.network.edges(node);
            let spare = forward.filter(|edge| flows[edge.id().index()] < *edge.weight());
            let onward = spare.map(|edge| edge.target());
            let backward = self.network.edges_directed(node, petgraph::Incoming);
            let used = backward.filter(|edge| flows[edge.id().index()] > 0);
            for next in onward.chain(used.map(|edge| edge.source())) {
                if !reached[next.index()] {
                    reached[next.index()] = true;
                    open.push(next);
                }
            }
        }
        reached
    }
}

fn add_group(network: &mut DiGraph<(), u64>, ports: &mut Ports, group: &Group) -> EdgeIndex {
    let arrive = ports.arrive.entry((group.layers.first(), group.place));
    let from = *arrive.or_insert_with(|| network.add_node(()));
    let leave = ports.leave.entry((group.layers.end(), group.place));
    let to = *leave.or_insert_with(|| network.add_node(()));
    network.add_edge(from, to, 0)
}

/// Joins what leaves a boundary to what arrives there.
///
/// A hop between places takes two edges, so that shortest augmenting paths stay in one place
/// where that is enough.
fn add_hops(
    network: &mut DiGraph<(), u64>,
    ports: &Ports,
    unlimited: u64,
) -> BTreeMap<Hop, EdgeIndex> {
    let mut hops = BTreeMap::new();
    for ((boundary, from), leave) in &ports.leave {
        let arrivals = ports.arrive.range((*boundary, 0)..=(*boundary, usize::MAX));
        for ((_, to), arrive) in arrivals {
            let hop = Hop {
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
            hops.insert(hop, network.add_edge(*leave, end, 0));
        }
    }
    hops
}
