//! Computes the largest token rate that a placement allows.

use mgw_world::{PlaceName, TargetName};
use serde::{Deserialize, Serialize};

use super::balance::{Plan, plan_flow};
use super::build::{Graph, UNITS_PER_TOKEN};

/// Share of the bound that runs through one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetShare {
    /// Name of the target.
    pub target: TargetName,
    /// Tokens per second that run through this target.
    pub tokens_per_s: f64,
}

/// Share of the bound that passes from one place to another at one layer boundary.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BoundaryShare {
    /// Index of the first layer after the boundary.
    pub boundary: u16,
    /// Place of the stage before the boundary.
    pub from: PlaceName,
    /// Place of the stage after the boundary.
    pub to: PlaceName,
    /// Tokens per second that pass between the two places at this boundary.
    pub tokens_per_s: f64,
}

/// The largest token rate that a placement allows, and the flow that reaches it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    /// Tokens per second of the whole placement.
    pub tokens_per_s: f64,
    /// Tokens per second if each boundary had every link to itself; never below `tokens_per_s`.
    pub relaxed_tokens_per_s: f64,
    /// Share of each target, sorted by target name.
    pub targets: Vec<TargetShare>,
    /// Share of each pair of places at each boundary.
    pub boundaries: Vec<BoundaryShare>,
}

/// Computes the largest token rate that the targets and links of `graph` allow.
#[must_use]
pub fn compute_bound(graph: &Graph) -> Bound {
    describe_plan(graph, &plan_flow(graph))
}

/// Converts a planned flow to tokens per second, with the names of targets and places.
pub(crate) fn describe_plan(graph: &Graph, plan: &Plan) -> Bound {
    let mut targets = Vec::new();
    for (group, flow) in graph.groups.iter().zip(&plan.flow.groups) {
        for index in &group.members {
            let item = &graph.targets[*index];
            targets.push(TargetShare {
                target: item.target.name.clone(),
                tokens_per_s: to_tokens_per_s(*flow) * fraction(item.capacity(), group.capacity),
            });
        }
    }
    targets.sort_by(|left, right| left.target.cmp(&right.target));
    let transfers = plan.flow.transfers.iter();
    let boundaries = transfers.map(|(transfer, flow)| BoundaryShare {
        boundary: transfer.boundary,
        from: graph.places[transfer.from].clone(),
        to: graph.places[transfer.to].clone(),
        tokens_per_s: to_tokens_per_s(*flow),
    });
    Bound {
        tokens_per_s: to_tokens_per_s(plan.flow.total),
        relaxed_tokens_per_s: to_tokens_per_s(plan.relaxed_total),
        targets,
        boundaries: boundaries.collect(),
    }
}

fn to_tokens_per_s(units: u64) -> f64 {
    units as f64 / UNITS_PER_TOKEN as f64
}

fn fraction(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
