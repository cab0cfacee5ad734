//! Builds the graph of one model version: targets grouped by layers and place.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mgw_world::{LayerRange, Link, Model, PlaceName, Target};

/// Flow units per token per second; integer units keep every sum exact.
pub(crate) const UNITS_PER_TOKEN: u64 = 1_000;

/// A target that a path may use.
#[derive(Debug, Clone)]
pub struct GraphTarget {
    /// Layers, place and limits of the target.
    pub target: Arc<Target>,
    /// Fraction of the target's capacity that may be used, from 0 to 1; below 1 while it warms up.
    pub warm_share: f64,
}

impl GraphTarget {
    /// Flow units that the target can carry at its current warm share.
    pub(crate) fn capacity(&self) -> u64 {
        let full_capacity = u64::from(self.target.limits.tokens_per_s) * UNITS_PER_TOKEN;
        (full_capacity as f64 * self.warm_share.clamp(0.0, 1.0)) as u64
    }
}

/// Targets that run the same layers in the same place; they form one edge of the flow network.
#[derive(Debug, Clone)]
pub(crate) struct Group {
    /// Layers that each member runs.
    pub layers: LayerRange,
    /// Index into `Graph::places`.
    pub place: usize,
    /// Indices into `Graph::targets`.
    pub members: Vec<usize>,
    /// Sum of the members' capacities in flow units.
    pub capacity: u64,
}

/// Targets of one model version and the links between their places.
#[derive(Debug, Clone, Default)]
pub struct Graph {
    pub(crate) layers: u16,
    pub(crate) targets: Vec<GraphTarget>,
    pub(crate) places: Vec<PlaceName>,
    pub(crate) groups: Vec<Group>,
    /// Indices of the groups by their first layer.
    pub(crate) groups_by_first_layer: BTreeMap<u16, Vec<usize>>,
    /// Flow units that each listed link can carry, by the indices of its two places.
    pub(crate) links: BTreeMap<(usize, usize), u64>,
}

impl Graph {
    /// Builds the graph of `model` from the targets that serve one version and adapter of it.
    ///
    /// A link that is missing in `links` counts as unlimited, so that a gap in the inventory
    /// doesn't make a model unreachable. Each direction of a link has the full capacity.
    #[must_use]
    pub fn build(model: &Model, targets: Vec<GraphTarget>, links: &[Link]) -> Self {
        let names: BTreeSet<_> = targets.iter().map(|it| it.target.place.clone()).collect();
        let places: Vec<_> = names.into_iter().collect();
        let groups = group_targets(model, &targets, &places);
        let mut groups_by_first_layer = BTreeMap::<u16, Vec<usize>>::new();
        for (index, group) in groups.iter().enumerate() {
            groups_by_first_layer
                .entry(group.layers.first())
                .or_default()
                .push(index);
        }
        Self {
            layers: model.layers,
            links: convert_links(model, links, &places),
            targets,
            places,
            groups,
            groups_by_first_layer,
        }
    }

    /// Returns the range of all layers, or `None` for a model without layers.
    #[must_use]
    pub fn layer_range(&self) -> Option<LayerRange> {
        LayerRange::new(0, self.layers).ok()
    }

    /// Returns the targets of the graph in the order in which they were passed to `build`.
    #[must_use]
    pub fn targets(&self) -> &[GraphTarget] {
        &self.targets
    }

    /// Returns the indices of the groups whose first layer is `layer`.
    pub(crate) fn groups_starting_at(&self, layer: u16) -> &[usize] {
        self.groups_by_first_layer
            .get(&layer)
            .map_or(&[], Vec::as_slice)
    }
}

/// Groups targets by layers and place; skips targets that aren't engines or run layers past the end
/// of the model.
fn group_targets(model: &Model, targets: &[GraphTarget], places: &[PlaceName]) -> Vec<Group> {
    let mut members = BTreeMap::<(LayerRange, usize), Vec<usize>>::new();
    for (index, item) in targets.iter().enumerate() {
        let Some(engine) = item.target.engine() else {
            continue;
        };
        let Ok(place) = places.binary_search(&item.target.place) else {
            continue;
        };
        if engine.layers.end() <= model.layers {
            members
                .entry((engine.layers, place))
                .or_default()
                .push(index);
        }
    }
    let groups = members.into_iter().map(|((layers, place), members)| Group {
        layers,
        place,
        capacity: members.iter().map(|index| targets[*index].capacity()).sum(),
        members,
    });
    groups.collect()
}

/// Converts the capacity of each link from bytes to flow units, for both directions.
fn convert_links(
    model: &Model,
    links: &[Link],
    places: &[PlaceName],
) -> BTreeMap<(usize, usize), u64> {
    let mut converted = BTreeMap::new();
    for link in links {
        let from = places.binary_search(&link.from);
        let to = places.binary_search(&link.to);
        let (Ok(from), Ok(to)) = (from, to) else {
            continue;
        };
        let bytes = u64::from(model.activation_bytes.max(1));
        let units = link.bytes_per_s.saturating_mul(UNITS_PER_TOKEN) / bytes;
        converted.insert((from, to), units);
        converted.insert((to, from), units);
    }
    converted
}
