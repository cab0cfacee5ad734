//! The largest token rate that a placement allows.

use mgw_world::{PlaceName, TargetName};
use serde::{Deserialize, Serialize};

use super::balance::{Plan, plan_flow};
use super::build::{Graph, UNITS_PER_TOKEN};

/// Part of the bound that runs through one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetShare {
    /// The target.
    pub target: TargetName,
    /// Its tokens a second.
    pub tokens_per_s: f64,
}

/// Part of the bound that passes from place to place at one layer boundary.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BoundaryShare {
    /// Index of the first layer after the boundary.
    pub boundary: u16,
    /// Place of the stage before it.
    pub from: PlaceName,
    /// Place of the stage after it.
    pub to: PlaceName,
    /// Its tokens a second.
    pub tokens_per_s: f64,
}

/// The largest token rate that a placement allows, and how it is reached.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    /// Tokens a second of the whole placement.
    pub tokens_per_s: f64,
    /// Tokens a second if each boundary had every link to itself; never below `tokens_per_s`.
    pub relaxed_tokens_per_s: f64,
    /// Share of each target, in the order of their names.
    pub targets: Vec<TargetShare>,
    /// Share of each pair of places at each boundary.
    pub boundaries: Vec<BoundaryShare>,
}

/// Computes the bound of a graph.
#[must_use]
pub fn compute_bound(graph: &Graph) -> Bound {
    describe_plan(graph, &plan_flow(graph))
}

/// Words a planned flow in tokens a second and names.
pub(crate) fn describe_plan(graph: &Graph, plan: &Plan) -> Bound {
    let mut targets = Vec::new();
    for (group, flow) in graph.groups.iter().zip(&plan.flow.groups) {
        for index in &group.members {
            let item = &graph.targets[*index];
            targets.push(TargetShare {
                target: item.target.name.clone(),
                tokens_per_s: tokens(*flow) * part_of(item.capacity(), group.capacity),
            });
        }
    }
    targets.sort_by(|left, right| left.target.cmp(&right.target));
    let hops = plan.flow.hops.iter();
    let boundaries = hops.map(|(hop, flow)| BoundaryShare {
        boundary: hop.boundary,
        from: graph.places[hop.from].clone(),
        to: graph.places[hop.to].clone(),
        tokens_per_s: tokens(*flow),
    });
    Bound {
        tokens_per_s: tokens(plan.flow.total),
        relaxed_tokens_per_s: tokens(plan.relaxed_total),
        targets,
        boundaries: boundaries.collect(),
    }
}

fn tokens(units: u64) -> f64 {
    units as f64 / UNITS_PER_TOKEN as f64
}

fn part_of(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
