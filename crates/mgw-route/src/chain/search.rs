//! The cheapest chain through the layers, by dynamic programming over their boundaries.

use mgw_world::{LayerRange, PipelineModel, PlaceName};

use super::cost::{Others, Room, Work, crowding, request_ms};
use super::fleet::{Fleet, Member, MemberKey};
use super::router::ChainSettings;
use mgw_world::{Millis, TargetName};

/// Part of a decoding batch that a further request on a chain is met with at one of its targets;
/// the others are elsewhere on the chain at that moment.
const BATCH_SHARE: f64 = 0.25;

/// What a search looks for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Search<'a> {
    pub model: &'a PipelineModel,
    pub settings: &'a ChainSettings,
    pub work: Work,
    pub avoid: &'a [TargetName],
    /// Only targets of this zone; none for chains across zones.
    pub place: Option<&'a PlaceName>,
    pub others: Others,
    pub now: Millis,
}

/// A chain that was found.
#[derive(Debug, Clone)]
pub(super) struct Found {
    pub parts: Vec<(MemberKey, LayerRange)>,
    pub cost_ms: f64,
}

/// The cheapest way to a boundary, ending at a target.
#[derive(Debug, Clone, Copy)]
struct Step {
    cost_ms: f64,
    member: MemberKey,
    from: u16,
    /// Index of the step before among the steps that end at `from`.
    before: usize,
}

/// A target that takes part in the search.
struct Candidate<'a> {
    key: MemberKey,
    member: &'a Member,
    room: Room,
    slowness: f64,
}

impl Search<'_> {
    /// The cheapest chain; none when the layers aren't covered by targets with room.
    pub fn run(&self, fleet: &Fleet) -> Option<Found> {
        let candidates = self.list_candidates(fleet);
        let points = self.list_points(&candidates);
        let mut ways: Vec<Vec<Step>> = vec![Vec::new(); usize::from(self.model.layers) + 1];
        for &point in &points {
            if point > 0 && ways[usize::from(point)].is_empty() {
                continue;
            }
            for candidate in &candidates {
                self.extend(fleet, candidate, point, &points, &mut ways);
            }
        }
        let last = &ways[usize::from(self.model.layers)];
        let best = last
            .iter()
            .min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))?;
        Some(Found {
            parts: collect_parts(&ways, *best, self.model.layers),
            cost_ms: best.cost_ms,
        })
    }

    fn list_candidates<'f>(&self, fleet: &'f Fleet) -> Vec<Candidate<'f>> {
        let members = fleet.iter().filter(|(_, member)| self.may_use(member));
        members
            .map(|(key, member)| Candidate {
                key,
                member,
                room: Room::of(member, self.others, self.settings),
                slowness: member.standing.slowness(self.now),
            })
            .collect()
    }

    fn may_use(&self, member: &Member) -> bool {
        let is_near = self.place.is_none_or(|place| member.target.place == *place);
        let is_avoided = self.avoid.contains(&member.target.name);
        is_near && !is_avoided && !member.standing.is_blocked(self.now)
    }

    fn list_points(&self, candidates: &[Candidate<'_>]) -> Vec<u16> {
        let ranges = candidates.iter().map(|it| it.member.target.layers);
        let mut points: Vec<u16> = ranges
            .flat_map(|range| [range.first(), range.end()])
            .chain([0])
            .collect();
        points.sort_unstable();
        points.dedup();
        points
    }

    fn extend(
        &self,
        fleet: &Fleet,
        candidate: &Candidate<'_>,
        from: u16,
        points: &[u16],
        ways: &mut [Vec<Step>],
    ) {
        let held = candidate.member.target.layers;
        if held.first() > from || held.end() <= from {
            return;
        }
        let Some((before, cost_ms)) = self.cheapest_before(fleet, candidate, from, ways) else {
            return;
        };
        let ends = points.iter().copied();
        for end in ends.filter(|end| *end > from && *end <= held.end()) {
            let Some(own_ms) = self.part_ms(candidate, from, end) else {
                break;
            };
            let step = Step {
                cost_ms: cost_ms + own_ms,
                member: candidate.key,
                from,
                before,
            };
            offer(fleet, &mut ways[usize::from(end)], step);
        }
    }

    /// The cheapest way to the start of a part, with the transfer to the part's zone.
    fn cheapest_before(
        &self,
        fleet: &Fleet,
        candidate: &Candidate<'_>,
        from: u16,
        ways: &[Vec<Step>],
    ) -> Option<(usize, f64)> {
        if from == 0 {
            return Some((0, 0.0));
        }
        let steps = ways[usize::from(from)].iter().enumerate();
        let costs = steps.filter(|(_, step)| step.member != candidate.key);
        let costs = costs.map(|(at, step)| {
            let place = &fleet.get(step.member).target.place;
            let is_same = *place == candidate.member.target.place;
            let crossing_ms = if is_same { 0.0 } else { self.crossing_ms() };
            (at, step.cost_ms + crossing_ms)
        });
        costs.min_by(|left, right| left.1.total_cmp(&right.1))
    }

    /// Time of moving the prompt's activations to another zone, over a link that others use too.
    fn crossing_ms(&self) -> f64 {
        let bytes = self.work.prompt_tokens * self.model.activation_bytes;
        let rate = self.model.place_link_bytes_per_ms.max(f64::MIN_POSITIVE);
        self.settings.crossing_factor * bytes / rate
    }

    /// Cost of a part; none when the target has no room for it.
    fn part_ms(&self, candidate: &Candidate<'_>, from: u16, end: u16) -> Option<f64> {
        let layers = end - from;
        let needed = self.work.kv_tokens() * f64::from(layers);
        let capacity = candidate.member.capacity_token_layers.max(1.0);
        let is_guess = self.others == Others::Guessed && self.settings.entries > 1;
        let is_empty = candidate.member.requests == 0;
        let after = candidate.room.used_share + needed / capacity;
        let received = if from == 0 {
            candidate.room.received_share
        } else {
            0.0
        };
        let is_full = after > self.settings.full_share || received > self.settings.full_share;
        // A share below one request of this process would otherwise never be used.
        if is_full && !(is_guess && is_empty && needed <= capacity) {
            return None;
        }
        let batch = 1.0 + candidate.room.requests * BATCH_SHARE;
        let accelerator = &candidate.member.accelerator;
        let own_ms = request_ms(self.model, accelerator, layers, self.work, batch);
        let crowded_ms =
            own_ms * candidate.slowness * crowding(after.max(received), self.settings.full_share);
        Some(self.settings.hop_ms + crowded_ms)
    }
}

/// Keeps the cheapest step that ends at a boundary for each zone.
fn offer(fleet: &Fleet, steps: &mut Vec<Step>, step: Step) {
    let place = &fleet.get(step.member).target.place;
    let same = steps
        .iter_mut()
        .find(|known| fleet.get(known.member).target.place == *place);
    match same {
        Some(known) if known.cost_ms <= step.cost_ms => {}
        Some(known) => *known = step,
        None => steps.push(step),
    }
}

/// Follows the steps back; a target that stands in the chain twice takes all between as well.
fn collect_parts(ways: &[Vec<Step>], last: Step, layers: u16) -> Vec<(MemberKey, LayerRange)> {
    let mut parts: Vec<(MemberKey, LayerRange)> = Vec::new();
    let (mut step, mut end) = (last, layers);
    loop {
        if let Ok(range) = LayerRange::new(step.from, end) {
            parts.push((step.member, range));
        }
        if step.from == 0 {
            break;
        }
        end = step.from;
        step = ways[usize::from(end)][step.before];
    }
    parts.reverse();
    merge_repeated(&parts)
}

fn merge_repeated(parts: &[(MemberKey, LayerRange)]) -> Vec<(MemberKey, LayerRange)> {
    let mut merged: Vec<(MemberKey, LayerRange)> = Vec::new();
    for &(member, range) in parts {
        let earlier = merged.iter().position(|(known, _)| *known == member);
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
