//! The choice of one path along the planned flow.

use std::collections::BTreeSet;

use mgw_world::{LayerRange, Millis};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::fleet::{Fleet, TargetKey};
use super::lane::{Choice, Lane, Member, Node};
use crate::PrefixDigest;
use crate::prefix::mix_digest;

/// Bits of a digest that a floating-point number can't hold.
const DROPPED_BITS: u32 = 11;
/// Members compared for each stage.
const SAMPLES: usize = 2;

/// What a walk has to keep to.
#[derive(Debug)]
pub(super) struct Walk<'a> {
    pub lane: &'a Lane,
    pub fleet: &'a Fleet,
    /// Targets that may not be chosen.
    pub excluded: &'a [TargetKey],
    /// Targets that likely hold a prefix of the prompt, best first.
    pub holders: &'a [TargetKey],
    /// First prefix of the prompt, if it has one.
    pub prefix: Option<PrefixDigest>,
    /// Load up to which a holder is followed, as a multiple of its share.
    pub affinity_load_factor: f64,
    /// KV memory that each layer needs.
    pub kv_bytes_per_layer: u64,
    /// Entries that share the targets.
    pub entries: u32,
    /// The present point.
    pub now: Millis,
}

/// Where a walk ends.
#[derive(Debug, Clone, Copy)]
struct Goal {
    end: u16,
    in_one_stage: bool,
}

/// A chosen member of a group.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pick {
    pub group: usize,
    pub key: TargetKey,
}

impl Walk<'_> {
    /// Finds members that cover `layers` exactly, after a stage in place `from`.
    ///
    /// Each stage is drawn from the flow first. Only where that leads nowhere are all other
    /// groups tried, each node at most once.
    pub fn find(
        &self,
        layers: LayerRange,
        from: Option<usize>,
        in_one_stage: bool,
        rng: &mut ChaCha8Rng,
    ) -> Option<Vec<Pick>> {
        let mut picks = Vec::new();
        let mut dead = BTreeSet::new();
        let start = Node {
            layer: layers.first(),
            place: from,
        };
        let goal = Goal {
            end: layers.end(),
            in_one_stage,
        };
        let found = self.extend(start, goal, &mut picks, &mut dead, rng);
        found.then_some(picks)
    }

    fn extend(
        &self,
        node: Node,
        goal: Goal,
        picks: &mut Vec<Pick>,
        dead: &mut BTreeSet<Node>,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        if node.layer == goal.end {
            return true;
        }
        if dead.contains(&node) {
            return false;
        }
        let choices = self.choices(node);
        let drawn = self.draw(choices, goal, rng);
        let drawn_group = drawn.map(|pick| pick.group);
        let others = choices.iter().map(|choice| choice.group);
        let usable = others.filter(|it| Some(*it) != drawn_group && self.is_usable(*it, goal));
        let fallback = usable.filter_map(|group| self.least_loaded(group));
        for pick in drawn.into_iter().chain(fallback) {
            picks.push(pick);
            if self.extend(self.node_after(pick.group), goal, picks, dead, rng) {
                return true;
            }
            picks.pop();
        }
        dead.insert(node);
        false
    }

    fn choices(&self, node: Node) -> &[Choice] {
        let anywhere = Node {
            place: None,
            ..node
        };
        let nodes = &self.lane.nodes;
        let found = nodes.get(&node).or_else(|| nodes.get(&anywhere));
        found.map_or(&[], Vec::as_slice)
    }

    fn node_after(&self, group: usize) -> Node {
        let group = &self.lane.graph.groups[group];
        Node {
            layer: group.layers.end(),
            place: Some(group.place),
        }
    }

    fn is_usable(&self, group: usize, goal: Goal) -> bool {
        let end = self.lane.graph.groups[group].layers.end();
        end == goal.end || (end < goal.end && !goal.in_one_stage)
    }

    /// Draws a stage: a holder of the prefix or else its home if that isn't too busy, else the
    /// least loaded of a few members drawn by the flow.
    fn draw(&self, choices: &[Choice], goal: Goal, rng: &mut ChaCha8Rng) -> Option<Pick> {
        let by_prefix = self.find_holder(choices, goal);
        let by_prefix = by_prefix.or_else(|| self.find_home(choices, goal));
        if by_prefix.is_some() {
            return by_prefix;
        }
        let mut best: Option<(f64, Pick)> = None;
        for _ in 0..SAMPLES {
            let Some((pick, member)) = self.sample(choices, goal, rng) else {
                continue;
            };
            let load = self.load(&member);
            let is_better = best.is_none_or(|(least, _)| load < least);
            if is_better && self.has_room(pick.group, pick.key) {
                best = Some((load, pick));
            }
        }
        best.map(|(_, pick)| pick)
    }

    fn sample(
        &self,
        choices: &[Choice],
        goal: Goal,
        rng: &mut ChaCha8Rng,
    ) -> Option<(Pick, Member)> {
        let usable = || {
            choices
                .iter()
                .filter(|choice| self.is_usable(choice.group, goal))
        };
        let total: f64 = usable().map(|choice| choice.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut left = rng.random::<f64>() * total;
        let mut chosen = None;
        for choice in usable().filter(|choice| choice.weight > 0.0) {
            chosen = Some(choice.group);
            left -= choice.weight;
            if left < 0.0 {
                break;
            }
        }
        let group = chosen?;
        let members = &self.lane.members[group];
        let point = rng.random::<f64>() * members.sums.last()?;
        let index = members.sums.partition_point(|sum| *sum <= point);
        let member = members.all[index.min(members.all.len() - 1)];
        let pick = Pick {
            group,
            key: member.key,
        };
        Some((pick, member))
    }

    /// Requests in flight from here, the new one included, for each unit of the member's rate.
    fn load(&self, member: &Member) -> f64 {
        let in_flight = self
            .fleet
            .get(member.key)
            .map_or(0, |record| record.in_flight);
        f64::from(in_flight + 1) / member.rate.max(f64::MIN_POSITIVE)
    }

    fn has_room(&self, group: usize, key: TargetKey) -> bool {
        if self.excluded.contains(&key) {
            return false;
        }
        let layers = self.lane.graph.groups[group].layers;
        let kv_bytes = self
            .kv_bytes_per_layer
            .saturating_mul(u64::from(layers.count()));
        let record = self.fleet.get(key);
        record.is_some_and(|record| record.has_room(kv_bytes, self.entries, self.now))
    }

    /// The member that all entries take for a prefix of which nothing is known.
    ///
    /// Each member draws a number from the prefix and its name, in proportion to its planned flow,
    /// and the best one wins: a member that goes or comes moves its own prefixes only.
    fn find_home(&self, choices: &[Choice], goal: Goal) -> Option<Pick> {
        let prefix = self.prefix?;
        let usable = choices.iter().filter(|it| self.is_usable(it.group, goal));
        let members = usable.flat_map(|choice| {
            let members = &self.lane.members[choice.group].all;
            let planned: f64 = members.iter().map(|member| member.rate).sum();
            let part = choice.weight / planned.max(f64::MIN_POSITIVE);
            members.iter().map(move |member| (choice, member, part))
        });
        let scored = members.filter_map(|(choice, member, part)| {
            let record = self.fleet.get(member.key)?;
            let draw = draw_for(prefix, record.name_digest);
            let score = -draw.ln() / (member.rate * part).max(f64::MIN_POSITIVE);
            Some((score, choice.group, member))
        });
        let (_, group, member) = scored.min_by(|left, right| left.0.total_cmp(&right.0))?;
        let is_free = self.has_room(group, member.key) && !self.is_busy(member);
        is_free.then_some(Pick {
            group,
            key: member.key,
        })
    }

    /// Whether a member has more in flight from here than a prefix may add to.
    fn is_busy(&self, member: &Member) -> bool {
        let average =
            f64::from(self.lane.sessions + 1) / (self.lane.plan.flow.total as f64).max(1.0);
        let in_flight = self
            .fleet
            .get(member.key)
            .map_or(0, |record| record.in_flight);
        f64::from(in_flight) > average * member.rate * self.affinity_load_factor
    }

    fn find_holder(&self, choices: &[Choice], goal: Goal) -> Option<Pick> {
        for key in self.holders {
            let Some((group, index)) = self.lane.positions.get(*key).copied() else {
                continue;
            };
            let is_choice = choices
                .iter()
                .any(|it| it.group == group && it.weight > 0.0);
            if !is_choice || !self.is_usable(group, goal) || !self.has_room(group, *key) {
                continue;
            }
            if !self.is_busy(&self.lane.members[group].all[index]) {
                return Some(Pick { group, key: *key });
            }
        }
        None
    }

    fn least_loaded(&self, group: usize) -> Option<Pick> {
        let members = self.lane.members[group].all.iter();
        let usable = members.filter(|member| self.has_room(group, member.key));
        let least = usable.min_by(|left, right| self.load(left).total_cmp(&self.load(right)));
        least.map(|member| Pick {
            group,
            key: member.key,
        })
    }
}

/// A number above zero and up to one that a prefix draws for a target.
fn draw_for(prefix: PrefixDigest, name_digest: u64) -> f64 {
    let mixed = mix_digest(prefix.0 ^ name_digest);
    ((mixed >> DROPPED_BITS) + 1) as f64 / (1_u64 << (u64::BITS - DROPPED_BITS)) as f64
}
