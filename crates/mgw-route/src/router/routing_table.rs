//! The routing table of one model variant: graph, planned flow and sampling weights.

use std::collections::BTreeMap;

use mgw_world::{AdapterName, Link, Millis, Model, ModelName, ModelVersion};
use slotmap::SecondaryMap;

use super::fleet::{Fleet, TargetKey, TargetState};
use super::settings::RouterSettings;
use crate::graph::{Plan, Transfer, plan_flow};
use crate::{AdmissionCapacity, Graph, GraphTarget};

/// A model in one version with one adapter or none: what all stages of a path have in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ModelVariant {
    pub model: ModelName,
    pub version: ModelVersion,
    pub adapter: Option<AdapterName>,
}

/// A group that may run the next layers after a node, and its planned flow from there.
#[derive(Debug, Clone, Copy)]
pub(super) struct Choice {
    pub group: usize,
    pub weight: f64,
}

/// A position in the search for a path: the next layer to cover and the place of the stage before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Node {
    pub layer: u16,
    /// `None` before the first stage, or when that place isn't known.
    pub place: Option<usize>,
}

/// A target in a group, with its planned rate and sampling weight.
#[derive(Debug, Clone, Copy)]
pub(super) struct Member {
    pub key: TargetKey,
    /// Flow that the plan assigns to the target, in flow units.
    pub rate: f64,
    /// Reported requests beyond the target's part of those of its peers; less the older the report.
    pub reported_excess: f64,
    /// `rate` corrected by the target's load report. Used for sampling only: sampled targets are
    /// compared by this entry's own requests, because other entries read the same report.
    weight: f64,
}

/// The members of a group with the running sums of their weights, for weighted sampling.
#[derive(Debug, Clone, Default)]
pub(super) struct WeightedMembers {
    pub all: Vec<Member>,
    pub cumulative_weights: Vec<f64>,
}

/// Graph, planned flow and sampling weights of one model variant.
#[derive(Debug)]
pub(super) struct RoutingTable {
    pub model: Model,
    pub graph: Graph,
    pub plan: Plan,
    /// Groups that may come next at each node.
    pub choices_by_node: BTreeMap<Node, Vec<Choice>>,
    /// Members of each group, by group index.
    pub members: Vec<WeightedMembers>,
    /// Index of each target's group, and of the target within that group.
    pub positions: SecondaryMap<TargetKey, (usize, usize)>,
    /// When the next suspect target can be chosen again, so that the table must be rebuilt.
    pub valid_until: Millis,
    /// Number of paths with a reservation.
    pub active_paths: u32,
    /// Key of each target of `graph`, by its index there.
    keys: Vec<TargetKey>,
}

/// Fraction of a group's capacity that counts as its rate in comparisons when the plan assigns it
/// less flow.
const MIN_RATE_FRACTION: f64 = 0.01;
/// Maximum factor by which a load report changes the weight of a target.
const MAX_REPORT_FACTOR: f64 = 2.0;

impl RoutingTable {
    /// Builds the table; suspect targets are left out unless the model isn't covered without them.
    pub fn build(
        model: &Model,
        variant: &ModelVariant,
        fleet: &Fleet,
        links: &[Link],
        settings: &RouterSettings,
        now: Millis,
    ) -> Self {
        let without_suspects =
            Self::plan(model, variant, fleet, links, |state| !state.is_suspect(now));
        let mut table = if without_suspects.plan.flow.total > 0 {
            without_suspects
        } else {
            Self::plan(model, variant, fleet, links, |_| true)
        };
        let states = fleet.iter().map(|(_, state)| state);
        let suspect_ends = states
            .map(TargetState::suspect_until)
            .filter(|until| *until > now);
        table.valid_until = suspect_ends.min().unwrap_or(Millis::MAX);
        table.update_weights(fleet, settings, now);
        table
    }

    /// Plans the flow over the eligible targets of the variant for which `is_included` holds. The
    /// weights aren't set yet.
    fn plan(
        model: &Model,
        variant: &ModelVariant,
        fleet: &Fleet,
        links: &[Link],
        is_included: impl Fn(&TargetState) -> bool,
    ) -> Self {
        let mut keys = Vec::new();
        let mut targets = Vec::new();
        for (key, state) in fleet.iter() {
            if state.eligible && is_included(state) && variant.is_served_by(state) {
                keys.push(key);
                targets.push(GraphTarget {
                    target: std::sync::Arc::clone(&state.target),
                    warm_share: state.warm_share,
                });
            }
        }
        let graph = Graph::build(model, targets, links);
        let plan = plan_flow(&graph);
        let positions = locate_members(&graph, &keys);
        Self {
            model: model.clone(),
            choices_by_node: list_choices(&graph, &plan),
            members: Vec::new(),
            positions,
            valid_until: Millis::MAX,
            active_paths: 0,
            keys,
            graph,
            plan,
        }
    }

    /// Whether the table has no targets.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the capacity of one of `entries` entries: its share of the requests that the layer
    /// with the lowest capacity can run, and of the KV memory of all layers.
    pub fn capacity(&self, fleet: &Fleet, entries: u32) -> AdmissionCapacity {
        let mut requests = vec![0_u64; usize::from(self.model.layers)];
        let mut kv_bytes = 0;
        for (group, flow) in self.graph.groups.iter().zip(&self.plan.flow.groups) {
            if *flow == 0 {
                continue;
            }
            let states = group
                .members
                .iter()
                .filter_map(|index| fleet.get(self.keys[*index]));
            let (mut group_requests, mut group_kv) = (0, 0_u64);
            for state in states {
                group_requests += u64::from(state.request_limit(entries));
                let share = state.target.limits.kv_bytes / u64::from(entries);
                group_kv = group_kv.saturating_add(share);
            }
            kv_bytes = group_kv.saturating_add(kv_bytes);
            let group_layers = usize::from(group.layers.first())..usize::from(group.layers.end());
            for layer in &mut requests[group_layers] {
                *layer += group_requests;
            }
        }
        let min_requests = requests.into_iter().min().unwrap_or(0);
        AdmissionCapacity {
            max_requests: u32::try_from(min_requests).unwrap_or(u32::MAX),
            kv_bytes,
        }
    }

    /// Recomputes the planned rates of all members, and their weights from the latest load reports.
    ///
    /// A target with a longer queue than its peers gets a lower weight, and one with a shorter
    /// queue a higher weight. The correction is narrowly bounded and shrinks with the age of the
    /// report, so that entries that read the same report don't all move to the same target.
    pub fn update_weights(&mut self, fleet: &Fleet, settings: &RouterSettings, now: Millis) {
        let mut all = Vec::with_capacity(self.graph.groups.len());
        for (group, flow) in self.graph.groups.iter().zip(&self.plan.flow.groups) {
            let group_rate = (*flow as f64).max(group.capacity as f64 * MIN_RATE_FRACTION);
            let rate_per_capacity = group_rate / (group.capacity as f64).max(1.0);
            let members = group.members.iter().map(|index| Member {
                key: self.keys[*index],
                rate: self.graph.targets[*index].capacity() as f64 * rate_per_capacity,
                reported_excess: 0.0,
                weight: 0.0,
            });
            all.push(members.collect::<Vec<_>>());
        }
        for peers in self.graph.groups_by_first_layer.values() {
            let mean = mean_queue(peers, &all, fleet);
            for group in peers {
                for member in &mut all[*group] {
                    if let Some(state) = fleet.get(member.key) {
                        let factor = report_factor(state, member.rate, mean, settings, now);
                        member.weight = member.rate * factor;
                        member.reported_excess =
                            reported_excess(state, member.rate, mean, settings, now);
                    }
                }
            }
        }
        self.members = all.into_iter().map(WeightedMembers::new).collect();
    }
}

impl ModelVariant {
    /// Whether a target is an engine for this model, version and adapter.
    fn is_served_by(&self, state: &TargetState) -> bool {
        let engine = state.target.engine();
        engine.is_some_and(|engine| {
            engine.model == self.model
                && engine.version == self.version
                && engine.adapter == self.adapter
        })
    }
}

impl WeightedMembers {
    fn new(all: Vec<Member>) -> Self {
        let mut sum = 0.0;
        let cumulative_weights = all.iter().map(|member| {
            sum += member.weight;
            sum
        });
        Self {
            cumulative_weights: cumulative_weights.collect(),
            all,
        }
    }
}

/// Returns the reported requests in flight of all peers per unit of their total rate.
fn mean_queue(peers: &[usize], all: &[Vec<Member>], fleet: &Fleet) -> f64 {
    let members = peers.iter().flat_map(|group| &all[*group]);
    let (mut in_flight, mut rate) = (0.0, 0.0);
    for member in members {
        let reported = fleet
            .get(member.key)
            .map_or(0, |state| state.load.in_flight);
        in_flight += f64::from(reported) + 1.0;
        rate += member.rate;
    }
    in_flight / rate.max(1.0)
}

/// Returns the factor by which a target's load report changes its weight: the mean queue of its
/// peers relative to its own, bounded, and closer to 1 the older the report is.
fn report_factor(
    state: &TargetState,
    rate: f64,
    mean_queue: f64,
    settings: &RouterSettings,
    now: Millis,
) -> f64 {
    let queue = (f64::from(state.load.in_flight) + 1.0) / rate.max(1.0);
    let ratio = (mean_queue / queue).clamp(1.0 / MAX_REPORT_FACTOR, MAX_REPORT_FACTOR);
    ratio.powf(report_weight(state, settings, now))
}

/// Returns the reported requests of a target beyond the usual variation of its part of those of its
/// peers, at least 0, and closer to 0 the older the report is.
fn reported_excess(
    state: &TargetState,
    rate: f64,
    mean_queue: f64,
    settings: &RouterSettings,
    now: Millis,
) -> f64 {
    let expected = mean_queue * rate;
    // Less than the standard deviation of independent arrivals tells nothing.
    let excess = f64::from(state.load.in_flight) + 1.0 - expected - expected.sqrt();

    excess.max(0.0) * report_weight(state, settings, now)
}

/// Returns the weight of a target's load report by its age, from 0 to 1.
fn report_weight(state: &TargetState, settings: &RouterSettings, now: Millis) -> f64 {
    let age_ms = (now - state.load_reported_at).0 as f64;
    let half_life_ms = settings.report_half_life_ms.0.max(1) as f64;
    (-age_ms / half_life_ms).exp2()
}

/// Maps each target to the index of its group and its index within that group.
fn locate_members(graph: &Graph, keys: &[TargetKey]) -> SecondaryMap<TargetKey, (usize, usize)> {
    let mut positions = SecondaryMap::new();
    for (group_index, group) in graph.groups.iter().enumerate() {
        for (index, member) in group.members.iter().enumerate() {
            positions.insert(keys[*member], (group_index, index));
        }
    }
    positions
}

/// Lists for each node the groups that may come next; for a node without a known place, all groups
/// that start at its layer.
fn list_choices(graph: &Graph, plan: &Plan) -> BTreeMap<Node, Vec<Choice>> {
    let mut choices_by_node = BTreeMap::new();
    for (layer, groups) in &graph.groups_by_first_layer {
        let choices = groups.iter().map(|group| Choice {
            group: *group,
            weight: plan.flow.groups[*group] as f64,
        });
        let node = Node {
            layer: *layer,
            place: None,
        };
        choices_by_node.insert(node, choices.collect::<Vec<_>>());
    }
    for group in &graph.groups {
        let node = Node {
            layer: group.layers.end(),
            place: Some(group.place),
        };
        let is_listed = choices_by_node.contains_key(&node);
        if !is_listed && node.layer < graph.layers {
            choices_by_node.insert(
                node,
                list_choices_after(graph, plan, node.layer, group.place),
            );
        }
    }
    choices_by_node
}

/// Lists the groups that start at `boundary`, weighted by their planned flow from place `from`.
fn list_choices_after(graph: &Graph, plan: &Plan, boundary: u16, from: usize) -> Vec<Choice> {
    let groups = graph.groups_starting_at(boundary);
    let arriving = |to: usize| -> u64 {
        let groups_there = groups
            .iter()
            .filter(|index| graph.groups[**index].place == to);
        groups_there.map(|index| plan.flow.groups[*index]).sum()
    };
    let choices = groups.iter().map(|index| {
        let to = graph.groups[*index].place;
        let transfer = Transfer { boundary, from, to };
        let transfer_flow = plan.flow.transfers.get(&transfer).copied().unwrap_or(0) as f64;
        let group_fraction = plan.flow.groups[*index] as f64 / (arriving(to) as f64).max(1.0);
        Choice {
            group: *index,
            weight: transfer_flow * group_fraction,
        }
    });
    choices.collect()
}
