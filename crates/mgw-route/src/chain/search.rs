//! Finds the cheapest chain through all layers, by dynamic programming over layer boundaries.

use mgw_world::{LayerRange, PipelineModel, PlaceName};

use super::cost::{OtherEntries, RequestSize, Utilization, request_ms, utilization_factor};
use super::fleet::{Fleet, Member, MemberKey};
use super::router::ChainSettings;
use crate::rate_limit::EntryRateLimits;
use mgw_world::{Millis, TargetName};

/// Fraction of a target's requests that a further request shares a decoding batch with; the others
/// are at other targets of their chains at that moment.
const BATCH_SHARE: f64 = 0.25;

/// Part of its limit from which the entries share what is left of a target: below it, all of them
/// may choose the target between two reports.
const NEARLY_FULL: f64 = 0.7;

/// Parameters of a search for a chain.
#[derive(Debug, Clone, Copy)]
pub(super) struct Search<'a> {
    pub model: &'a PipelineModel,
    pub settings: &'a ChainSettings,
    pub size: RequestSize,
    pub avoid: &'a [TargetName],
    /// Rate limits of targets; `None` to ignore them.
    pub limits: Option<&'a EntryRateLimits>,
    /// Zone that the chain must stay in; `None` for chains across zones.
    pub place: Option<&'a PlaceName>,
    /// Whether targets that asked for a pause may be used as well.
    pub ignores_pauses: bool,
    /// Whether targets without room may be used as well.
    pub ignores_room: bool,
    /// Whether refusals show that room is short, so that the entries share what is left.
    pub is_room_short: bool,
    pub other_entries: OtherEntries,
    pub now: Millis,
}

/// Result of a search: the targets in order, with the layers that each runs.
#[derive(Debug, Clone)]
pub(super) struct FoundChain {
    pub parts: Vec<(MemberKey, LayerRange)>,
    pub cost_ms: f64,
}

/// The cheapest partial chain that covers the layers up to a boundary and ends at a target.
#[derive(Debug, Clone, Copy)]
struct PartialChain {
    cost_ms: f64,
    member: MemberKey,
    /// First layer that the last target runs.
    from: u16,
    /// Index of the partial chain that this one extends, among those that end at `from`.
    previous: usize,
}

/// A target that the search may use.
struct Candidate<'a> {
    key: MemberKey,
    member: &'a Member,
    utilization: Utilization,
    /// Utilization up to which it has room, as refusals show it.
    max_utilization: f64,
    slowness: f64,
    /// Whether its rate limit leaves room for a request that starts at it.
    may_start: bool,
}

impl Search<'_> {
    /// The cheapest chain; `None` when targets with free capacity don't cover all layers.
    pub fn run(&self, fleet: &Fleet) -> Option<FoundChain> {
        let candidates = self.list_candidates(fleet);
        let boundaries = self.list_boundaries(&candidates);
        let mut partials: Vec<Vec<PartialChain>> =
            vec![Vec::new(); usize::from(self.model.layers) + 1];
        for &boundary in &boundaries {
            if boundary > 0 && partials[usize::from(boundary)].is_empty() {
                continue;
            }
            for candidate in &candidates {
                self.extend(fleet, candidate, boundary, &boundaries, &mut partials);
            }
        }
        let complete = &partials[usize::from(self.model.layers)];
        let best = complete
            .iter()
            .min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))?;
        Some(FoundChain {
            parts: collect_parts(&partials, *best, self.model.layers),
            cost_ms: best.cost_ms,
        })
    }

    fn list_candidates<'f>(&self, fleet: &'f Fleet) -> Vec<Candidate<'f>> {
        let members = fleet.iter().filter(|(_, member)| self.may_use(member));
        members
            .map(|(key, member)| Candidate {
                key,
                member,
                utilization: Utilization::of(member, self.other_entries, self.settings),
                max_utilization: self.max_utilization(member),
                slowness: member.health.slowness(self.now),
                may_start: self.may_start(member),
            })
            .collect()
    }

    fn max_utilization(&self, member: &Member) -> f64 {
        if self.ignores_room {
            return f64::INFINITY;
        }
        let max_utilization = self.settings.max_utilization;
        member.room.max_utilization(max_utilization, self.now)
    }

    /// Whether a target's KV cache has room for a request that needs `needed` of it, in tokens times
    /// layers.
    fn has_memory(&self, candidate: &Candidate<'_>, needed: f64) -> bool {
        let member = candidate.member;
        let capacity = member.capacity_token_layers.max(1.0);
        let limit = candidate.max_utilization * capacity;
        let used = member.used_before_report + member.others_load.token_layers;
        let is_nearly_full = used > NEARLY_FULL * limit;
        let is_known = self.other_entries != OtherEntries::Assumed;
        if self.is_room_short && is_known && is_nearly_full {
            let own_share = own_share(member, limit, self.settings.entries);
            return member.used_token_layers + needed * member.turn <= own_share;
        }
        candidate.utilization.kv_share + needed / capacity <= candidate.max_utilization
    }

    fn may_start(&self, member: &Member) -> bool {
        let target = &member.target;
        self.limits
            .is_none_or(|limits| limits.may_send(&target.name, target.incarnation, self.now))
    }

    fn may_use(&self, member: &Member) -> bool {
        let is_place_allowed = self.place.is_none_or(|place| member.target.place == *place);
        let is_avoided = self.avoid.contains(&member.target.name);
        // A paused target can't be used before the pause ends, whatever else is known about it.
        let is_usable = match member.health.pause_end(self.now) {
            Some(_) => self.ignores_pauses,
            None => !member.health.is_blocked(self.now),
        };
        // A target may announce anything; one that claims other layers than the model's serves another model.
        let is_of_model = member.target.layers.end() <= self.model.layers;
        is_place_allowed && !is_avoided && is_usable && is_of_model
    }

    /// Layer boundaries at which some candidate's range starts or ends, in ascending order.
    fn list_boundaries(&self, candidates: &[Candidate<'_>]) -> Vec<u16> {
        let ranges = candidates.iter().map(|it| it.member.target.layers);
        let mut boundaries: Vec<u16> = ranges
            .flat_map(|range| [range.first(), range.end()])
            .chain([0])
            .collect();
        boundaries.sort_unstable();
        boundaries.dedup();
        boundaries
    }

    /// Extends the cheapest partial chain that ends at `from` by the candidate, up to each further
    /// boundary within the candidate's layers.
    fn extend(
        &self,
        fleet: &Fleet,
        candidate: &Candidate<'_>,
        from: u16,
        boundaries: &[u16],
        partials: &mut [Vec<PartialChain>],
    ) {
        let loaded = candidate.member.target.layers;
        if loaded.first() > from || loaded.end() <= from {
            return;
        }
        let Some((previous, cost_ms)) = self.cheapest_previous(fleet, candidate, from, partials)
        else {
            return;
        };
        let ends = boundaries.iter().copied();
        for end in ends.filter(|end| *end > from && *end <= loaded.end()) {
            let Some(part_ms) = self.part_ms(candidate, from, end) else {
                break;
            };
            let partial = PartialChain {
                cost_ms: cost_ms + part_ms,
                member: candidate.key,
                from,
                previous,
            };
            keep_cheapest(fleet, &mut partials[usize::from(end)], partial);
        }
    }

    /// The cheapest partial chain that the candidate can extend at `from`, and its cost with the
    /// transfer to the candidate's zone.
    fn cheapest_previous(
        &self,
        fleet: &Fleet,
        candidate: &Candidate<'_>,
        from: u16,
        partials: &[Vec<PartialChain>],
    ) -> Option<(usize, f64)> {
        if from == 0 {
            return Some((0, 0.0));
        }
        let ending_here = partials[usize::from(from)].iter().enumerate();
        let costs = ending_here.filter(|(_, partial)| partial.member != candidate.key);
        let costs = costs.map(|(at, partial)| {
            let place = &fleet.get(partial.member).target.place;
            let is_same = *place == candidate.member.target.place;
            let crossing_ms = if is_same { 0.0 } else { self.crossing_ms() };
            (at, partial.cost_ms + crossing_ms)
        });
        costs.min_by(|left, right| left.1.total_cmp(&right.1))
    }

    /// Time to transfer the prompt's activations to another zone, over a link shared with others.
    fn crossing_ms(&self) -> f64 {
        let bytes = self.size.prompt_tokens * self.model.activation_bytes;
        let rate = self.model.place_link_bytes_per_ms.max(f64::MIN_POSITIVE);
        self.settings.crossing_factor * bytes / rate
    }

    /// Cost of running the layers `from..end` on the candidate; `None` when its KV cache or one of its
    /// limits on first requests would be exceeded.
    fn part_ms(&self, candidate: &Candidate<'_>, from: u16, end: u16) -> Option<f64> {
        if from == 0 && !candidate.may_start {
            return None;
        }
        let layers = end - from;
        let needed = self.size.kv_tokens() * f64::from(layers);
        let capacity = candidate.member.capacity_token_layers.max(1.0);
        let is_assumed = self.other_entries == OtherEntries::Assumed && self.settings.entries > 1;
        let is_unused = candidate.member.requests == 0;
        let is_limited = candidate.max_utilization < self.settings.max_utilization;
        let utilization = candidate.utilization;
        let max_utilization = candidate.max_utilization;
        let has_memory = self.has_memory(candidate, needed);
        let received_share = if from == 0 {
            utilization.received_share
        } else {
            0.0
        };
        let is_full = !has_memory || received_share > max_utilization;
        // An entry whose equal share is less than one request could otherwise never use the target.
        if is_full && !(is_assumed && is_unused && !is_limited && needed <= capacity) {
            return None;
        }
        let kv_share = utilization.kv_share + needed / capacity;
        let batch = 1.0 + utilization.requests * BATCH_SHARE;
        let accelerator = &candidate.member.accelerator;
        let run_ms = request_ms(self.model, accelerator, layers, self.size, batch);
        let adjusted_ms = run_ms
            * candidate.slowness
            * utilization_factor(kv_share.max(received_share), max_utilization);
        Some(self.settings.hop_cost_ms + adjusted_ms)
    }
}

/// What this entry may hold of a target's `limit`, both in tokens times layers: as much as it held
/// before the last report, and an equal part of what was left then. A request that ends may so be
/// replaced at once, while only a few entries at a time take more.
fn own_share(member: &Member, limit: f64, entries: u32) -> f64 {
    let own = member.used_before_report;
    let left = (limit - own - member.others_load.token_layers).max(0.0);
    own + left / f64::from(entries.max(1))
}

/// Adds a partial chain, keeping only the cheapest one for each zone in which they end.
fn keep_cheapest(fleet: &Fleet, partials: &mut Vec<PartialChain>, new: PartialChain) {
    let place = &fleet.get(new.member).target.place;
    let same_place = partials
        .iter_mut()
        .find(|existing| fleet.get(existing.member).target.place == *place);
    match same_place {
        Some(existing) if existing.cost_ms <= new.cost_ms => {}
        Some(existing) => *existing = new,
        None => partials.push(new),
    }
}

/// Follows the partial chains back to the first layer. A target that occurs twice in the chain also
/// runs all layers in between.
fn collect_parts(
    partials: &[Vec<PartialChain>],
    last: PartialChain,
    layers: u16,
) -> Vec<(MemberKey, LayerRange)> {
    let mut parts: Vec<(MemberKey, LayerRange)> = Vec::new();
    let (mut partial, mut end) = (last, layers);
    loop {
        if let Ok(range) = LayerRange::new(partial.from, end) {
            parts.push((partial.member, range));
        }
        if partial.from == 0 {
            break;
        }
        end = partial.from;
        partial = partials[usize::from(end)][partial.previous];
    }
    parts.reverse();
    merge_repeated(&parts)
}

fn merge_repeated(parts: &[(MemberKey, LayerRange)]) -> Vec<(MemberKey, LayerRange)> {
    let mut merged: Vec<(MemberKey, LayerRange)> = Vec::new();
    for &(member, range) in parts {
        let earlier = merged.iter().position(|(key, _)| *key == member);
        let first = match earlier {
            Some(at) => {
                let first = merged[at].1.first();
                merged.truncate(at);
                first
            }
            None => range.first(),
        };
        if let Ok(range) = LayerRange::new(first, range.end()) {
            merged.push((member, range));
        }
    }
    merged
}
