//! The flow that routing follows: as large as possible, within shared links, evenly spread.

use std::collections::BTreeMap;

use super::build::Graph;
use super::flow::{Caps, Flow, Hop, Network};

/// Rounds in which the capacity of a shared link is divided anew among its boundaries.
const LINK_ROUNDS: usize = 6;
/// Most times that the use of the groups is evened out.
const LEVEL_ROUNDS: usize = 8;
/// Steps of the search for the lowest even use.
const SEARCH_STEPS: usize = 8;

/// The flow that routing follows, and the flow if each boundary had the links to itself.
#[derive(Debug, Clone, Default)]
pub(crate) struct Plan {
    /// Flow that keeps to the shared links, evenly spread.
    pub flow: Flow,
    /// Total that ignores the sharing of links between boundaries.
    pub relaxed_total: u64,
}

/// Plans the flow of a graph.
pub(crate) fn plan_flow(graph: &Graph) -> Plan {
    let mut network = Network::build(graph);
    let mut caps = Caps {
        groups: graph.groups.iter().map(|group| group.capacity).collect(),
        hops: own_link_caps(graph, &network),
    };
    let relaxed = network.solve(&caps);
    let relaxed_total = relaxed.total;
    let largest = share_links(graph, &mut network, &mut caps, relaxed);
    let flow = even_out(&mut network, caps, largest);
    Plan {
        flow,
        relaxed_total,
    }
}

/// Gives each hop the whole capacity of its link.
fn own_link_caps(graph: &Graph, network: &Network) -> BTreeMap<Hop, u64> {
    let limited = network.hops().filter_map(|hop| {
        let cap = graph.links.get(&(hop.from, hop.to))?;
        Some((hop, *cap))
    });
    limited.collect()
}

/// Divides links among the boundaries that use them until no link carries more than it can.
fn share_links(graph: &Graph, network: &mut Network, caps: &mut Caps, first: Flow) -> Flow {
    let mut best: Option<(Flow, Caps)> = None;
    let mut flow = first;
    for _ in 0..LINK_ROUNDS {
        let used = sum_links(&flow);
        divide_links(graph, caps, &flow, &used);
        let largest = best.as_ref().map_or(0, |(held, _)| held.total);
        if is_feasible(graph, &used) && (best.is_none() || flow.total > largest) {
            best = Some((flow.clone(), caps.clone()));
        }
        if best.is_some() && !has_full_shared_link(graph, &flow, &used) {
            break;
        }
        flow = network.solve(caps);
    }
    let Some((best_flow, best_caps)) = best else {
        return flow;
    };
    *caps = best_caps;
    best_flow
}

fn is_feasible(graph: &Graph, used: &BTreeMap<(usize, usize), u64>) -> bool {
    let fits = |(link, units): (&(usize, usize), &u64)| {
        let cap = graph.links.get(link);
        cap.is_none_or(|cap| units <= cap)
    };
    used.iter().all(fits)
}

fn sum_links(flow: &Flow) -> BTreeMap<(usize, usize), u64> {
    let mut used = BTreeMap::new();
    for (hop, units) in &flow.hops {
        *used.entry((hop.from, hop.to)).or_insert(0) += units;
    }
    used
}

/// Whether a link that several boundaries use might carry more if it were divided otherwise.
fn has_full_shared_link(graph: &Graph, flow: &Flow, used: &BTreeMap<(usize, usize), u64>) -> bool {
    used.iter().any(|(link, units)| {
        let users = flow
            .hops
            .keys()
            .filter(|hop| (hop.from, hop.to) == *link)
            .count();
        let cap = graph.links.get(link).copied().unwrap_or(u64::MAX);
        users > 1 && units.saturating_add(cap / 100) >= cap
    })
}

/// Divides each link by the present use; what is left over goes to its boundaries in equal parts.
///
/// Links that the flow doesn't use are divided too: otherwise the next flow might use one of them
/// at several boundaries beyond its capacity.
fn divide_links(graph: &Graph, caps: &mut Caps, flow: &Flow, used: &BTreeMap<(usize, usize), u64>) {
    for (link, cap) in &graph.links {
        let units = used.get(link).copied().unwrap_or(0);
        let hops = caps.hops.iter_mut();
        let mine: Vec<_> = hops
            .filter(|(hop, _)| (hop.from, hop.to) == *link)
            .collect();
        let spare = cap.saturating_sub(units) / mine.len().max(1) as u64;
        for (hop, hop_cap) in mine {
            let use_here = flow.hops.get(hop).copied().unwrap_or(0);
            let kept = u128::from(use_here) * u128::from((*cap).min(units));
            let scaled = kept / u128::from(units.max(1));
            *hop_cap = u64::try_from(scaled).unwrap_or(u64::MAX) + spare;
        }
    }
}

/// Lowers the limits of groups step by step as long as the total stays, so that no group is used
/// to the full while another one for the same layers is idle.
fn even_out(network: &mut Network, mut caps: Caps, largest: Flow) -> Flow {
    let wanted = largest.total;
    let mut settled = vec![false; caps.groups.len()];
    let mut flow = largest;
    for _ in 0..LEVEL_ROUNDS {
        let Some((lowered, crossing)) = lower_evenly(network, &caps, &settled, wanted) else {
            break;
        };
        caps = lowered;
        flow = network.solve(&caps);
        for (done, crosses) in settled.iter_mut().zip(crossing) {
            *done = *done || crosses;
        }
    }
    flow
}

/// The lowest even limit of the groups that aren't settled, and which of them hold it up.
fn lower_evenly(
    network: &mut Network,
    caps: &Caps,
    settled: &[bool],
    wanted: u64,
) -> Option<(Caps, Vec<bool>)> {
    if settled.iter().all(|done| *done) {
        return None;
    }
    let (mut low, mut high) = (0.0, 1.0);
    let mut crossing = Vec::new();
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        let (total, crosses) = network.cut(&scale_caps(caps, settled, middle));
        if total >= wanted {
            high = middle;
        } else {
            low = middle;
            crossing = crosses;
        }
    }
    let holds_up = crossing
        .iter()
        .zip(settled)
        .any(|(crosses, done)| *crosses && !done);
    holds_up.then(|| (scale_caps(caps, settled, high), crossing))
}

fn scale_caps(caps: &Caps, settled: &[bool], factor: f64) -> Caps {
    let scale = |(cap, done): (&u64, &bool)| {
        if *done {
            *cap
        } else {
            (*cap as f64 * factor) as u64
        }
    };
    Caps {
        groups: caps.groups.iter().zip(settled).map(scale).collect(),
        hops: caps.hops.clone(),
    }
}
