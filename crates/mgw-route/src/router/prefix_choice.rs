//! Weighs the targets of a stage for a prompt whose prefix may be cached, and finds its home.

use mgw_world::mix_bits;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::path_search::{Goal, PathSearch, SelectedTarget};
use super::routing_table::{Choice, Member};
use crate::prefix::{Holder, PrefillTarget, choose_prefill_target, follow_probability};
use crate::{PREFIX_BLOCK_TOKENS, PrefixDigest};

/// Bits of a 64-bit digest that don't fit into the mantissa of an `f64`.
const DROPPED_BITS: u32 = 11;
/// Weight of the evidence for a cached prefix below which it is ignored.
const MIN_EVIDENCE_WEIGHT: f64 = 0.1;
/// Fraction of a prompt below which a cached prefix isn't followed: the wait isn't known as exactly.
const MIN_SAVED_SHARE: f64 = 0.25;

/// A holder of a prefix that could run the next stage.
#[derive(Debug, Clone, Copy)]
struct UsableHolder {
    holder: Holder,
    target: SelectedTarget,
    /// Fraction of the planned flow after this node that goes to the target.
    flow_share: f64,
}

impl PathSearch<'_> {
    /// Chooses between `sampled`, the target for a prompt without prefix, and the targets that hold
    /// the prefix; the home of the prefix if none is known to hold it.
    pub(super) fn choose_by_prefix(
        &self,
        choices: &[Choice],
        goal: Goal,
        sampled: Option<SelectedTarget>,
        rng: &mut ChaCha8Rng,
    ) -> Option<SelectedTarget> {
        if self.prefixes.is_empty() {
            return sampled;
        }
        let mut usable = self.list_usable_holders(choices, goal);
        if usable.is_empty() {
            return self.find_home(choices, goal).or(sampled);
        }
        usable.retain(|it| self.saved_share(&it.holder) >= MIN_SAVED_SHARE);
        if usable.is_empty() {
            return sampled;
        }
        let mut targets = self.select_followed(&usable, rng);
        targets.extend(sampled.filter(|it| !targets.iter().any(|other| other.key == it.key)));
        let weighed: Vec<PrefillTarget> = targets
            .iter()
            .map(|target| self.describe(*target))
            .collect();
        let chosen = choose_prefill_target(&weighed, self.prompt_tokens(), || rng.random());
        chosen.map(|index| targets[index])
    }

    fn prompt_tokens(&self) -> f64 {
        (self.prefixes.len() * PREFIX_BLOCK_TOKENS) as f64
    }

    /// Fraction of the prompt's blocks that a holder has cached.
    fn saved_share(&self, holder: &Holder) -> f64 {
        holder.blocks as f64 / self.prefixes.len() as f64
    }

    /// Lists the holders that the plan uses here and that can accept the request, those with the
    /// longest prefix first.
    fn list_usable_holders(&self, choices: &[Choice], goal: Goal) -> Vec<UsableHolder> {
        let total: f64 = choices.iter().map(|choice| choice.weight).sum();
        let holders = self.prefix_holders.iter();
        let usable = holders.filter_map(|holder| {
            let (group, index) = self.table.positions.get(holder.key).copied()?;
            let choice = choices.iter().find(|it| it.group == group)?;
            let is_usable = choice.weight > 0.0
                && self.evidence_weight(holder) >= MIN_EVIDENCE_WEIGHT
                && self.is_usable(group, goal)
                && self.can_accept(group, holder.key);
            let members = &self.table.members[group].all;
            let group_rate: f64 = members.iter().map(|member| member.rate).sum();
            let member_share = members[index].rate / group_rate.max(f64::MIN_POSITIVE);
            is_usable.then_some(UsableHolder {
                holder: *holder,
                target: SelectedTarget {
                    group,
                    key: holder.key,
                },
                flow_share: choice.weight / total * member_share,
            })
        });
        usable.collect()
    }

    /// Selects the holders that this request may follow its prefix to: one at random for each
    /// length of prefix, since entries that read the same reports would all find the same holder
    /// the best.
    fn select_followed(
        &self,
        usable: &[UsableHolder],
        rng: &mut ChaCha8Rng,
    ) -> Vec<SelectedTarget> {
        let sample: f64 = rng.random();
        let mut followed = Vec::new();
        let mut holders_share = 0.0;
        // A holder of a longer prefix holds the shorter ones as well.
        for same_prefix in usable.chunk_by(|left, right| left.holder.blocks == right.holder.blocks)
        {
            holders_share += same_prefix.iter().map(|it| it.flow_share).sum::<f64>();
            let holder = same_prefix[0].holder;
            let demand_share = self.demand.share(holder.prefix);
            let saved_share = self.saved_share(&holder);
            if sample < follow_probability(holders_share, demand_share, saved_share) {
                followed.extend(choose_by_flow(same_prefix, rng));
            }
        }
        followed
    }

    fn describe(&self, target: SelectedTarget) -> PrefillTarget {
        let position = self.table.positions.get(target.key);
        let state = self.fleet.get(target.key);
        let (Some((group, index)), Some(state)) = (position.copied(), state) else {
            return PrefillTarget::default();
        };
        let member = &self.table.members[group].all[index];
        let tokens_per_s = f64::from(state.target.limits.tokens_per_s) * state.warm_share;
        let token_ms = 1_000.0 / tokens_per_s.max(1.0);
        let prefill_ms = self.prompt_tokens() * token_ms;
        let layers = self.table.graph.groups[group].layers.count();
        let required_kv = self.kv_bytes_per_layer.saturating_mul(u64::from(layers));
        let used_kv = state.kv_bytes.saturating_mul(u64::from(self.entries));
        let used_kv = used_kv.max(state.load.kv_bytes_used);
        PrefillTarget {
            token_ms,
            held_tokens: self.held_tokens(target),
            wait_ms: self.count_waiting(member) * prefill_ms,
            memory_share: used_kv.saturating_add(required_kv) as f64
                / (state.target.limits.kv_bytes as f64).max(1.0),
            rate: member.rate,
        }
    }

    /// Tokens of the prompt that a target holds, weighted by the age of the evidence.
    fn held_tokens(&self, target: SelectedTarget) -> f64 {
        let mut holders = self.prefix_holders.iter();
        let held = holders.find(|holder| holder.key == target.key);
        held.map_or(0.0, |holder| {
            let tokens = (holder.blocks * PREFIX_BLOCK_TOKENS) as f64;
            tokens * self.evidence_weight(holder)
        })
    }

    /// Weight of the evidence that a target holds a prefix, from 0 to 1 by its age.
    fn evidence_weight(&self, holder: &Holder) -> f64 {
        let age_ms = (self.now - holder.seen_at).0 as f64;
        let half_life_ms = self.prefix_half_life_ms.0.max(1) as f64;
        (-age_ms / half_life_ms).exp2()
    }

    /// Estimated requests at a member beyond its planned share, which wait for each other. Every
    /// other entry is assumed to have chosen as this one did.
    fn count_waiting(&self, member: &Member) -> f64 {
        let in_flight = self.fleet.get(member.key);
        let in_flight = in_flight.map_or(0.0, |state| f64::from(state.in_flight));
        let own = (in_flight - self.planned_requests(member)).max(0.0);
        (own * f64::from(self.entries)).max(member.reported_excess)
    }

    /// This entry's requests, including the new one, that the plan assigns to a member.
    fn planned_requests(&self, member: &Member) -> f64 {
        let flow = (self.table.plan.flow.total as f64).max(1.0);
        f64::from(self.table.active_paths + 1) / flow * member.rate
    }

    /// Returns the target that all entries choose for a prefix that isn't known to be cached
    /// anywhere.
    ///
    /// Uses weighted rendezvous hashing: each member gets a score from the prefix, its name and its
    /// planned flow, and the best score wins. A member that joins or leaves moves only its own
    /// prefixes. Returns `None` if the winner can't accept the request or is overloaded for
    /// affinity.
    pub(super) fn find_home(&self, choices: &[Choice], goal: Goal) -> Option<SelectedTarget> {
        let prefix = self.prefixes.first().copied()?;
        let usable = choices.iter().filter(|it| self.is_usable(it.group, goal));
        let members = usable.flat_map(|choice| {
            let members = &self.table.members[choice.group].all;
            let group_rate: f64 = members.iter().map(|member| member.rate).sum();
            let flow_fraction = choice.weight / group_rate.max(f64::MIN_POSITIVE);
            members
                .iter()
                .map(move |member| (choice, member, flow_fraction))
        });
        let scored = members.filter_map(|(choice, member, flow_fraction)| {
            let state = self.fleet.get(member.key)?;
            let sample = rendezvous_sample(prefix, state.name_digest);
            let score = -sample.ln() / (member.rate * flow_fraction).max(f64::MIN_POSITIVE);
            Some((score, choice.group, member))
        });
        let (_, group, member) = scored.min_by(|left, right| left.0.total_cmp(&right.0))?;
        let is_available =
            self.can_accept(group, member.key) && !self.exceeds_affinity_load(member);
        is_available.then_some(SelectedTarget {
            group,
            key: member.key,
        })
    }

    /// Whether this entry's requests in flight at a member exceed the load up to which it is
    /// preferred for a prefix.
    pub(super) fn exceeds_affinity_load(&self, member: &Member) -> bool {
        let in_flight = self.fleet.get(member.key);
        let in_flight = in_flight.map_or(0.0, |state| f64::from(state.in_flight));
        in_flight > self.planned_requests(member) * self.affinity_load_factor
    }
}

/// Chooses one of several holders at random, in proportion to the planned flow.
fn choose_by_flow(holders: &[UsableHolder], rng: &mut ChaCha8Rng) -> Option<SelectedTarget> {
    let total: f64 = holders.iter().map(|it| it.flow_share).sum();
    let mut remaining = rng.random::<f64>() * total;
    let chosen = holders.iter().find(|it| {
        remaining -= it.flow_share;
        remaining < 0.0
    });
    chosen.or(holders.last()).map(|it| it.target)
}

/// Returns a pseudorandom number in (0, 1] that depends only on the prefix and the target's name.
fn rendezvous_sample(prefix: PrefixDigest, name_digest: u64) -> f64 {
    let mixed = mix_bits(prefix.0 ^ name_digest);
    ((mixed >> DROPPED_BITS) + 1) as f64 / (1_u64 << (u64::BITS - DROPPED_BITS)) as f64
}
