//! Plans the flow that routing follows: the largest one that shared links allow, spread evenly over
//! the groups of targets.

use std::collections::BTreeMap;

use super::build::Graph;
use super::flow::{Caps, Flow, Network, Transfer};

/// Maximum number of times that shared links are divided again among the boundaries they serve.
const MAX_LINK_ROUNDS: usize = 6;
/// Maximum number of rounds that balance the utilization of the groups.
const MAX_BALANCE_ROUNDS: usize = 8;
/// Bisection steps in the search for the lowest common utilization.
const BISECTION_STEPS: usize = 8;

/// The flow that routing follows, and the total that would be possible if each boundary had every
/// link to itself.
#[derive(Debug, Clone, Default)]
pub(crate) struct Plan {
    /// Flow within the capacities of shared links, spread evenly over the groups.
    pub flow: Flow,
    /// Total flow when the sharing of links between boundaries is ignored.
    pub relaxed_total: u64,
}

/// Computes the flow that routing follows for `graph`.
pub(crate) fn plan_flow(graph: &Graph) -> Plan {
    let mut network = Network::build(graph);
    let mut caps = Caps {
        groups: graph.groups.iter().map(|group| group.capacity).collect(),
        transfers: own_link_caps(graph, &network),
    };
    let relaxed = network.solve(&caps);
    let relaxed_total = relaxed.total;
    let largest = share_links(graph, &mut network, &mut caps, relaxed);
    let flow = balance_utilization(&mut network, caps, largest);
    Plan {
        flow,
        relaxed_total,
    }
}

/// Limits each transfer to the whole capacity of its link, as if no other boundary used that link.
fn own_link_caps(graph: &Graph, network: &Network) -> BTreeMap<Transfer, u64> {
    let limited = network.transfers().filter_map(|transfer| {
        let cap = graph.links.get(&(transfer.from, transfer.to))?;
        Some((transfer, *cap))
    });
    limited.collect()
}

/// Divides each link among the boundaries that use it until no link exceeds its capacity.
///
/// Returns the largest feasible flow found, or the last flow if none was feasible.
fn share_links(graph: &Graph, network: &mut Network, caps: &mut Caps, first: Flow) -> Flow {
    let mut best: Option<(Flow, Caps)> = None;
    let mut flow = first;
    for _ in 0..MAX_LINK_ROUNDS {
        let used = sum_links(&flow);
        divide_links(graph, caps, &flow, &used);
        let largest = best.as_ref().map_or(0, |(best_flow, _)| best_flow.total);
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

/// Whether every link carries at most its capacity.
fn is_feasible(graph: &Graph, used: &BTreeMap<(usize, usize), u64>) -> bool {
    let fits = |(link, units): (&(usize, usize), &u64)| {
        let cap = graph.links.get(link);
        cap.is_none_or(|cap| units <= cap)
    };
    used.iter().all(fits)
}

/// Sums the flow of each link over all boundaries.
fn sum_links(flow: &Flow) -> BTreeMap<(usize, usize), u64> {
    let mut used = BTreeMap::new();
    for (transfer, units) in &flow.transfers {
        *used.entry((transfer.from, transfer.to)).or_insert(0) += units;
    }
    used
}

/// Whether a link that several boundaries use is at least 99% full, so that a different division
/// might allow more flow.
fn has_full_shared_link(graph: &Graph, flow: &Flow, used: &BTreeMap<(usize, usize), u64>) -> bool {
    used.iter().any(|(link, units)| {
        let users = flow
            .transfers
            .keys()
            .filter(|transfer| (transfer.from, transfer.to) == *link)
            .count();
        let cap = graph.links.get(link).copied().unwrap_or(u64::MAX);
        users > 1 && units.saturating_add(cap / 100) >= cap
    })
}

/// Divides each link among its boundaries in proportion to their current flow; spare capacity is
/// split equally.
///
/// Links without flow are divided too: otherwise the next flow might use such a link at several
/// boundaries and exceed its capacity.
fn divide_links(graph: &Graph, caps: &mut Caps, flow: &Flow, used: &BTreeMap<(usize, usize), u64>) {
    for (link, cap) in &graph.links {
        let units = used.get(link).copied().unwrap_or(0);
        let transfers = caps.transfers.iter_mut();
        let link_transfers: Vec<_> = transfers
            .filter(|(transfer, _)| (transfer.from, transfer.to) == *link)
            .collect();
        let spare = cap.saturating_sub(units) / link_transfers.len().max(1) as u64;
        for (transfer, transfer_cap) in link_transfers {
            let transfer_units = flow.transfers.get(transfer).copied().unwrap_or(0);
            let product = u128::from(transfer_units) * u128::from((*cap).min(units));
            let scaled = product / u128::from(units.max(1));
            *transfer_cap = u64::try_from(scaled).unwrap_or(u64::MAX) + spare;
        }
    }
}

/// Lowers the limits of groups step by step while the total flow stays the same, so that no group
/// runs at full capacity while another group for the same layers is idle.
fn balance_utilization(network: &mut Network, mut caps: Caps, largest: Flow) -> Flow {
    let required_total = largest.total;
    let mut fixed = vec![false; caps.groups.len()];
    let mut flow = largest;
    for _ in 0..MAX_BALANCE_ROUNDS {
        let Some((lowered, on_min_cut)) = lower_evenly(network, &caps, &fixed, required_total)
        else {
            break;
        };
        caps = lowered;
        flow = network.solve(&caps);
        for (is_fixed, is_on_cut) in fixed.iter_mut().zip(on_min_cut) {
            *is_fixed = *is_fixed || is_on_cut;
        }
    }
    flow
}

/// Finds the lowest common utilization of the groups that aren't fixed yet at which the flow still
/// reaches `required_total`.
///
/// Returns the limits at that utilization and which groups are on the minimum cut just below it:
/// these can't be lowered further. Returns `None` when the cut holds no group that isn't fixed yet.
fn lower_evenly(
    network: &mut Network,
    caps: &Caps,
    fixed: &[bool],
    required_total: u64,
) -> Option<(Caps, Vec<bool>)> {
    if fixed.iter().all(|is_fixed| *is_fixed) {
        return None;
    }
    let (mut low, mut high) = (0.0, 1.0);
    let mut on_min_cut = Vec::new();
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        let (total, groups_on_cut) = network.min_cut(&scale_caps(caps, fixed, middle));
        if total >= required_total {
            high = middle;
        } else {
            low = middle;
            on_min_cut = groups_on_cut;
        }
    }
    let has_newly_fixed = on_min_cut
        .iter()
        .zip(fixed)
        .any(|(is_on_cut, is_fixed)| *is_on_cut && !is_fixed);
    has_newly_fixed.then(|| (scale_caps(caps, fixed, high), on_min_cut))
}

/// Multiplies the limits of the groups that aren't fixed by `factor`.
fn scale_caps(caps: &Caps, fixed: &[bool], factor: f64) -> Caps {
    let scale = |(cap, is_fixed): (&u64, &bool)| {
        if *is_fixed {
            *cap
        } else {
            (*cap as f64 * factor) as u64
        }
    };
    Caps {
        groups: caps.groups.iter().zip(fixed).map(scale).collect(),
        transfers: caps.transfers.clone(),
    }
}
