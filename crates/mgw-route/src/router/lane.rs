//! One model version as the router sees it: graph, planned flow and weights of the choice.

use std::collections::BTreeMap;

use mgw_world::{AdapterName, Link, Millis, Model, ModelName, ModelVersion};
use slotmap::SecondaryMap;

use super::fleet::{Fleet, Record, TargetKey};
use super::settings::RouterSettings;
use crate::graph::{Hop, Plan, plan_flow};
use crate::{AdmissionCapacity, Graph, GraphTarget};

/// Names a lane: what every stage of a path has in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LaneName {
    pub model: ModelName,
    pub version: ModelVersion,
    pub adapter: Option<AdapterName>,
}

/// A group that may follow at a node, and the part of the flow that does.
#[derive(Debug, Clone, Copy)]
pub(super) struct Choice {
    pub group: usize,
    pub weight: f64,
}

/// Where a path stands: the next layer and the place of the stage before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Node {
    pub layer: u16,
    pub place: Option<usize>,
}

/// One member of a group.
#[derive(Debug, Clone, Copy)]
pub(super) struct Member {
    pub key: TargetKey,
    /// Flow that it shall carry.
    pub rate: f64,
    /// That flow corrected by its load report, for sampling only: entries that read the same
    /// report compare what they sampled by their own requests.
    weight: f64,
}

/// The members of a group and their running sums, for weighted sampling.
#[derive(Debug, Clone, Default)]
pub(super) struct Members {
    pub all: Vec<Member>,
    pub sums: Vec<f64>,
}

/// Graph, planned flow and weights of one model version.
#[derive(Debug)]
pub(super) struct Lane {
    pub model: Model,
    pub graph: Graph,
    pub plan: Plan,
    pub nodes: BTreeMap<Node, Vec<Choice>>,
    pub members: Vec<Members>,
    /// Group and index of each target.
    pub positions: SecondaryMap<TargetKey, (usize, usize)>,
    /// When a suspect target comes back and the graph has to be built anew.
    pub valid_until: Millis,
    /// Paths that hold a reservation.
    pub sessions: u32,
    keys: Vec<TargetKey>,
}

/// Part of a group's capacity that a target without planned flow counts for in comparisons.
const UNPLANNED_PART: f64 = 0.01;
/// A report changes the weight of a target by this factor at most.
const MAX_REPORT_FACTOR: f64 = 2.0;

impl Lane {
    /// Builds the lane; suspect targets are left out unless nothing covers the model without them.
    pub fn build(
        model: &Model,
        name: &LaneName,
        fleet: &Fleet,
        links: &[Link],
        settings: &RouterSettings,
        now: Millis,
    ) -> Self {
        let sound = Self::plan(model, name, fleet, links, |record| !record.is_suspect(now));
        let mut lane = if sound.plan.flow.total > 0 {
            sound
        } else {
            Self::plan(model, name, fleet, links, |_| true)
        };
        let records = fleet.iter().map(|(_, record)| record);
        let ends = records
            .map(Record::suspect_until)
            .filter(|until| *until > now);
        lane.valid_until = ends.min().unwrap_or(Millis::MAX);
        lane.weigh(fleet, settings, now);
        lane
    }

    fn plan(
        model: &Model,
        name: &LaneName,
        fleet: &Fleet,
        links: &[Link],
        is_wanted: impl Fn(&Record) -> bool,
    ) -> Self {
        let mut keys = Vec::new();
        let mut targets = Vec::new();
        for (key, record) in fleet.iter() {
            if record.eligible && is_wanted(record) && name.is_held_by(record) {
                keys.push(key);
                targets.push(GraphTarget {
                    target: std::sync::Arc::clone(&record.target),
                    warm_share: record.warm_share,
                });
            }
        }
        let graph = Graph::build(model, targets, links);
        let plan = plan_flow(&graph);
        let positions = locate_members(&graph, &keys);
        Self {
            model: model.clone(),
            nodes: list_choices(&graph, &plan),
            members: Vec::new(),
            positions,
            valid_until: Millis::MAX,
            sessions: 0,
            keys,
            graph,
            plan,
        }
    }

    /// Whether the lane holds no target at all.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// What one of `entries` entries may run at once: its share of what the scarcest layer takes.
    pub fn capacity(&self, fleet: &Fleet, entries: u32) -> AdmissionCapacity {
        let mut requests = vec![0_u64; usize::from(self.model.layers)];
        let mut kv_bytes = 0;
        for (group, flow) in self.graph.groups.iter().zip(&self.plan.flow.groups) {
            if *flow == 0 {
                continue;
            }
            let records = group
                .members
                .iter()
                .filter_map(|index| fleet.get(self.keys[*index]));
            let (mut group_requests, mut group_kv) = (0, 0_u64);
            for record in records {
                group_requests += u64::from(record.request_limit(entries));
                let share = record.target.limits.kv_bytes / u64::from(entries);
                group_kv = group_kv.saturating_add(share);
            }
            kv_bytes = group_kv.saturating_add(kv_bytes);
            let held = usize::from(group.layers.first())..usize::from(group.layers.end());
            for layer in &mut requests[held] {
                *layer += group_requests;
            }
        }
        let scarcest = requests.into_iter().min().unwrap_or(0);
        AdmissionCapacity {
            max_requests: u32::try_from(scarcest).unwrap_or(u32::MAX),
            kv_bytes,
        }
    }

    /// Computes the members' rates anew from the newest load reports.
    ///
    /// A target with a longer queue than its peers gets less, within narrow bounds and the less
    /// the older its report is: entries that all read the same report don't follow it together.
    pub fn weigh(&mut self, fleet: &Fleet, settings: &RouterSettings, now: Millis) {
        let mut all = Vec::with_capacity(self.graph.groups.len());
        for (group, flow) in self.graph.groups.iter().zip(&self.plan.flow.groups) {
            let planned = (*flow as f64).max(group.capacity as f64 * UNPLANNED_PART);
            let per_unit = planned / (group.capacity as f64).max(1.0);
            let members = group.members.iter().map(|index| Member {
                key: self.keys[*index],
                rate: self.graph.targets[*index].capacity() as f64 * per_unit,
                weight: 0.0,
            });
            all.push(members.collect::<Vec<_>>());
        }
        for peers in self.graph.groups_by_first_layer.values() {
            let mean = mean_queue(peers, &all, fleet);
            for group in peers {
                for member in &mut all[*group] {
                    if let Some(record) = fleet.get(member.key) {
                        let factor = report_factor(record, member.rate, mean, settings, now);
                        member.weight = member.rate * factor;
                    }
                }
            }
        }
        self.members = all.into_iter().map(Members::new).collect();
    }
}

impl LaneName {
    fn is_held_by(&self, record: &Record) -> bool {
        let engine = record.target.engine();
        engine.is_some_and(|engine| {
            engine.model == self.model
                && engine.version == self.version
                && engine.adapter == self.adapter
        })
    }
}

impl Members {
    fn new(all: Vec<Member>) -> Self {
        let mut sum = 0.0;
        let sums = all.iter().map(|member| {
            sum += member.weight;
            sum
        });
        Self {
            sums: sums.collect(),
            all,
        }
    }
}

/// Steps in the reports of a group of peers for each unit of their rate.
fn mean_queue(peers: &[usize], all: &[Vec<Member>], fleet: &Fleet) -> f64 {
    let members = peers.iter().flat_map(|group| &all[*group]);
    let (mut steps, mut rate) = (0.0, 0.0);
    for member in members {
        let reported = fleet
            .get(member.key)
            .map_or(0, |record| record.load.in_flight);
        steps += f64::from(reported) + 1.0;
        rate += member.rate;
    }
    steps / rate.max(1.0)
}

fn report_factor(
    record: &Record,
    rate: f64,
    mean: f64,
    settings: &RouterSettings,
    now: Millis,
) -> f64 {
    let queue = (f64::from(record.load.in_flight) + 1.0) / rate.max(1.0);
    let ratio = (mean / queue).clamp(1.0 / MAX_REPORT_FACTOR, MAX_REPORT_FACTOR);
    let age_ms = (now - record.load_at).0 as f64;
    let half_life_ms = settings.report_half_life_ms.0.max(1) as f64;
    ratio.powf((-age_ms / half_life_ms).exp2())
}

fn locate_members(graph: &Graph, keys: &[TargetKey]) -> SecondaryMap<TargetKey, (usize, usize)> {
    let mut positions = SecondaryMap::new();
    for (group_index, group) in graph.groups.iter().enumerate() {
        for (index, member) in group.members.iter().enumerate() {
            positions.insert(keys[*member], (group_index, index));
        }
    }
    positions
}

/// Lists for each node what may follow; without a known place everything that starts there.
fn list_choices(graph: &Graph, plan: &Plan) -> BTreeMap<Node, Vec<Choice>> {
    let mut nodes = BTreeMap::new();
    for (layer, groups) in &graph.groups_by_first_layer {
        let any = groups.iter().map(|group| Choice {
            group: *group,
            weight: plan.flow.groups[*group] as f64,
        });
        let node = Node {
            layer: *layer,
            place: None,
        };
        nodes.insert(node, any.collect::<Vec<_>>());
    }
    for group in &graph.groups {
        let node = Node {
            layer: group.layers.end(),
            place: Some(group.place),
        };
        let choices = nodes.contains_key(&node);
        if !choices && node.layer < graph.layers {
            nodes.insert(node, follow(graph, plan, node.layer, group.place));
        }
    }
    nodes
}

fn follow(graph: &Graph, plan: &Plan, boundary: u16, from: usize) -> Vec<Choice> {
    let groups = graph.groups_starting_at(boundary);
    let arriving = |to: usize| -> u64 {
        let there = groups
            .iter()
            .filter(|index| graph.groups[**index].place == to);
        there.map(|index| plan.flow.groups[*index]).sum()
    };
    let choices = groups.iter().map(|index| {
        let to = graph.groups[*index].place;
        let hop = Hop { boundary, from, to };
        let passing = plan.flow.hops.get(&hop).copied().unwrap_or(0) as f64;
        let part = plan.flow.groups[*index] as f64 / (arriving(to) as f64).max(1.0);
        Choice {
            group: *index,
            weight: passing * part,
        }
    });
    choices.collect()
}
