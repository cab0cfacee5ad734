//! Searches one path along the planned flow.

use std::collections::BTreeSet;

use mgw_world::{LayerRange, Millis};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::fleet::{Fleet, TargetKey};
use super::routing_table::{Choice, Member, Node, RoutingTable};
use crate::prefix::{Holder, PrefixDemand};
use crate::{PrefixDigest, PrefixRule};

/// Number of sampled members that are compared for each stage.
const SAMPLES: usize = 2;

/// A search for the targets of a path, with the state and constraints that it uses.
#[derive(Debug)]
pub(super) struct PathSearch<'a> {
    pub table: &'a RoutingTable,
    pub fleet: &'a Fleet,
    /// Targets that may not be chosen.
    pub excluded: &'a [TargetKey],
    /// Targets that probably have a prefix of the prompt in their cache, best first.
    pub prefix_holders: &'a [Holder],
    /// Prefixes of the prompt, shortest first.
    pub prefixes: &'a [PrefixDigest],
    /// How often prefixes occur in this entry's requests.
    pub demand: &'a PrefixDemand,
    /// Rule by which cached prefixes are followed.
    pub prefix_rule: PrefixRule,
    /// Age at which the evidence for a cached prefix has half its weight.
    pub prefix_half_life_ms: Millis,
    /// Load up to which a target is preferred for a prefix, as a multiple of its planned share.
    pub affinity_load_factor: f64,
    /// KV memory that the request needs for each layer, in bytes.
    pub kv_bytes_per_layer: u64,
    /// Number of live entries that share the targets.
    pub entries: u32,
    /// Current time.
    pub now: Millis,
}

/// Where a search ends, and whether a single stage must reach that layer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Goal {
    end: u16,
    in_one_stage: bool,
}

/// The target selected for a stage, and its group.
#[derive(Debug, Clone, Copy)]
pub(super) struct SelectedTarget {
    pub group: usize,
    pub key: TargetKey,
}

impl PathSearch<'_> {
    /// Finds targets that cover `layers` exactly, after a stage in place `from`.
    ///
    /// For each stage the search first tries a target chosen along the planned flow. Only if that
    /// leads to no complete path does it try all other groups. It expands each node that failed
    /// only once.
    pub fn find(
        &self,
        layers: LayerRange,
        from: Option<usize>,
        in_one_stage: bool,
        rng: &mut ChaCha8Rng,
    ) -> Option<Vec<SelectedTarget>> {
        let mut selected = Vec::new();
        let mut dead_ends = BTreeSet::new();
        let start = Node {
            layer: layers.first(),
            place: from,
        };
        let goal = Goal {
            end: layers.end(),
            in_one_stage,
        };
        let found = self.extend(start, goal, &mut selected, &mut dead_ends, rng);
        found.then_some(selected)
    }

    /// Extends the path from `node` to the goal by depth-first search; returns whether it
    /// succeeded.
    fn extend(
        &self,
        node: Node,
        goal: Goal,
        selected: &mut Vec<SelectedTarget>,
        dead_ends: &mut BTreeSet<Node>,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        if node.layer == goal.end {
            return true;
        }
        if dead_ends.contains(&node) {
            return false;
        }
        let choices = self.choices(node);
        let preferred = self.choose_stage(choices, goal, rng);
        let preferred_group = preferred.map(|target| target.group);
        let groups = choices.iter().map(|choice| choice.group);
        let usable = groups.filter(|it| Some(*it) != preferred_group && self.is_usable(*it, goal));
        let fallback = usable.filter_map(|group| self.find_least_loaded(group));
        for target in preferred.into_iter().chain(fallback) {
            selected.push(target);
            if self.extend(
                self.node_after(target.group),
                goal,
                selected,
                dead_ends,
                rng,
            ) {
                return true;
            }
            selected.pop();
        }
        dead_ends.insert(node);
        false
    }

    /// Returns the groups that may come next; all that start at this layer when the place isn't
    /// listed.
    fn choices(&self, node: Node) -> &[Choice] {
        let any_place = Node {
            place: None,
            ..node
        };
        let choices_by_node = &self.table.choices_by_node;
        let found = choices_by_node
            .get(&node)
            .or_else(|| choices_by_node.get(&any_place));
        found.map_or(&[], Vec::as_slice)
    }

    fn node_after(&self, group: usize) -> Node {
        let group = &self.table.graph.groups[group];
        Node {
            layer: group.layers.end(),
            place: Some(group.place),
        }
    }

    /// Whether a stage of this group stays within the goal.
    pub(super) fn is_usable(&self, group: usize, goal: Goal) -> bool {
        let end = self.table.graph.groups[group].layers.end();
        end == goal.end || (end < goal.end && !goal.in_one_stage)
    }

    /// Chooses the target of the next stage: the least loaded of a few targets sampled by planned
    /// flow, or one that is better because of the prompt's prefix.
    fn choose_stage(
        &self,
        choices: &[Choice],
        goal: Goal,
        rng: &mut ChaCha8Rng,
    ) -> Option<SelectedTarget> {
        match self.prefix_rule {
            PrefixRule::WithinLoadLimit => {
                let by_prefix = self.choose_within_load_limit(choices, goal);
                by_prefix.or_else(|| self.choose_sampled(choices, goal, rng))
            }
            PrefixRule::Weighed => {
                let sampled = self.choose_sampled(choices, goal, rng);
                self.choose_by_prefix(choices, goal, sampled, rng)
            }
        }
    }

    /// Chooses the least loaded of a few targets sampled by planned flow.
    fn choose_sampled(
        &self,
        choices: &[Choice],
        goal: Goal,
        rng: &mut ChaCha8Rng,
    ) -> Option<SelectedTarget> {
        let mut best: Option<(f64, SelectedTarget)> = None;
        for _ in 0..SAMPLES {
            let Some((target, member)) = self.sample(choices, goal, rng) else {
                continue;
            };
            let load = self.load(&member);
            let is_better = best.is_none_or(|(least, _)| load < least);
            if is_better && self.can_accept(target.group, target.key) {
                best = Some((load, target));
            }
        }
        best.map(|(_, target)| target)
    }

    /// Samples a group by planned flow, then a member of it by weight.
    fn sample(
        &self,
        choices: &[Choice],
        goal: Goal,
        rng: &mut ChaCha8Rng,
    ) -> Option<(SelectedTarget, Member)> {
        let usable = || {
            choices
                .iter()
                .filter(|choice| self.is_usable(choice.group, goal))
        };
        let total: f64 = usable().map(|choice| choice.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut remaining = rng.random::<f64>() * total;
        let mut chosen = None;
        for choice in usable().filter(|choice| choice.weight > 0.0) {
            chosen = Some(choice.group);
            remaining -= choice.weight;
            if remaining < 0.0 {
                break;
            }
        }
        let group = chosen?;
        let members = &self.table.members[group];
        let point = rng.random::<f64>() * members.cumulative_weights.last()?;
        let index = members
            .cumulative_weights
            .partition_point(|sum| *sum <= point);
        let member = members.all[index.min(members.all.len() - 1)];
        let target = SelectedTarget {
            group,
            key: member.key,
        };
        Some((target, member))
    }

    /// Returns this entry's requests in flight at a member, including the new one, per unit of its
    /// planned rate.
    fn load(&self, member: &Member) -> f64 {
        let in_flight = self
            .fleet
            .get(member.key)
            .map_or(0, |state| state.in_flight);
        f64::from(in_flight + 1) / member.rate.max(f64::MIN_POSITIVE)
    }

    /// Whether a target isn't excluded and can accept this request.
    pub(super) fn can_accept(&self, group: usize, key: TargetKey) -> bool {
        if self.excluded.contains(&key) {
            return false;
        }
        let layers = self.table.graph.groups[group].layers;
        let kv_bytes = self
            .kv_bytes_per_layer
            .saturating_mul(u64::from(layers.count()));
        let state = self.fleet.get(key);
        state.is_some_and(|state| state.can_accept(kv_bytes, self.entries, self.now))
    }

    /// Returns the least loaded member of a group that can accept the request.
    fn find_least_loaded(&self, group: usize) -> Option<SelectedTarget> {
        let members = self.table.members[group].all.iter();
        let usable = members.filter(|member| self.can_accept(group, member.key));
        let least = usable.min_by(|left, right| self.load(left).total_cmp(&self.load(right)));
        least.map(|member| SelectedTarget {
            group,
            key: member.key,
        })
    }
}
