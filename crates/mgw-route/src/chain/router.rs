//! Chooses a chain for each request and tracks the load of requests on targets.

use std::net::SocketAddr;

use mgw_world::{Incarnation, LayerRange, Millis, PipelineModel, PlaceName, TargetName};
use slotmap::{SlotMap, new_key_type};

use super::TargetLoad;
use super::cost::{OtherEntries, RequestSize, Utilization};
use super::crossing::CrossingBudget;
use super::entry_load::report_valid_ms;
use super::fleet::{ChainTarget, Fleet, MemberKey};
use super::health::HealthSettings;
use super::search::{FoundChain, Search};
use crate::exclusions::TargetRun;
use crate::rate_limit::EntryRateLimits;

new_key_type! {
    /// Identifies the capacity that a request has reserved on the targets of its chain, until
    /// [`ChainRouter::release`].
    pub struct ChainReservation;
}

/// Settings for choosing chains.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChainSettings {
    /// Number of entries that share the targets. While the load of the others is unknown, each uses
    /// an equal part of the targets' memory.
    pub entries: u32,
    /// Fraction of a target's KV cache that requests may use by estimate. The estimate counts whole
    /// answers, although on average half of each is still to be generated. Also the fraction of
    /// [`ChainTarget::max_received`] up to which a target is chosen as the first of a chain.
    pub max_utilization: f64,
    /// Cost added for each target of a chain, since the failure of any of them stops the request.
    pub hop_cost_ms: f64,
    /// Factor on the cost of a chain in a zone other than the entry's own: answers over links
    /// between zones cost more and are affected by faults of those links.
    pub other_place_factor: f64,
    /// Factor on the time to transfer a prompt's activations between zones, to allow for queueing
    /// on the link.
    pub crossing_factor: f64,
    /// Timings for the health checks of targets.
    pub health: HealthSettings,
}

impl Default for ChainSettings {
    fn default() -> Self {
        Self {
            entries: 1,
            max_utilization: 0.9,
            hop_cost_ms: 25.0,
            other_place_factor: 2.0,
            crossing_factor: 4.0,
            health: HealthSettings::default(),
        }
    }
}

/// A request that needs a chain.
#[derive(Debug, Clone, Copy)]
pub struct ChainRequest<'a> {
    /// Tokens of the prompt, plus those of the answer that were already sent.
    pub prompt_tokens: u32,
    /// Expected number of tokens of the answer.
    pub answer_tokens: u32,
    /// Targets that must not be in the chain.
    pub avoid: &'a [TargetName],
    /// Rate limits, which decide at which targets the chain may start; `None` if no target has one.
    pub limits: Option<&'a EntryRateLimits>,
}

/// One target of a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hop {
    /// Name of the target.
    pub target: TargetName,
    /// Incarnation of the target that the chain was chosen for.
    pub incarnation: Incarnation,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    /// Layers that it runs for the request.
    pub layers: LayerRange,
}

impl Hop {
    /// The run of the target that the chain was chosen for.
    #[must_use]
    pub fn run(&self) -> TargetRun {
        TargetRun {
            name: self.target.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// A sequence of targets that covers all layers in order.
#[derive(Debug, Clone)]
pub struct Chain {
    /// Targets in order; the first one receives the request.
    pub hops: Vec<Hop>,
    /// Estimated total time of the request on the chain, with the penalties that the choice adds.
    pub cost_ms: f64,
    /// Capacity that the request has reserved on the targets.
    pub reservation: ChainReservation,
}

/// Why no chain was found for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum NoChain {
    /// the known targets don't cover all layers
    Uncovered,
    /// the targets that aren't blocked or suspected don't cover all layers
    Suspected,
    /// the targets that cover the layers have no free capacity for the request
    Full,
    /// the rate limits of the targets that could begin the request leave no room for it
    Limited,
    /// a part of the prompt is quarantined, because targets end under it
    Quarantined,
    /// the targets that cover the layers asked for a pause, the first of them until {until}
    Paused {
        /// When the first of the pauses ends.
        until: Millis,
    },
}

/// Summary of the load on the targets, for log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ChainLoad {
    /// Targets that may be used in new chains.
    pub targets: usize,
    /// Those of them that are blocked or suspected now.
    pub blocked: usize,
    /// This entry's requests that have reserved a chain.
    pub requests: usize,
    /// Number of entries that share the targets.
    pub entries: u32,
    /// Whether the other entries' load is known; otherwise each is assumed to have this entry's
    /// load.
    pub knows_other_entries: bool,
    /// Estimated fraction of the KV cache in use, over all targets together.
    pub used_share: f64,
}

#[derive(Debug, Clone)]
pub(super) struct Reservation {
    pub parts: Vec<(MemberKey, LayerRange)>,
    pub kv_tokens: f64,
    pub chosen_at: Millis,
    /// Whether a token has arrived over the chain.
    pub has_begun: bool,
}

/// Chooses chains for the requests of one model at one entry.
///
/// Every entry chooses on its own and assumes that the others choose as it does, so a choice needs
/// no communication. A chain stays within one zone if some zone covers all layers, since a prompt's
/// activations load the links between zones far more than an answer does.
#[derive(Debug)]
pub struct ChainRouter {
    pub(super) settings: ChainSettings,
    model: PipelineModel,
    own_place: PlaceName,
    pub(super) fleet: Fleet,
    pub(super) reservations: SlotMap<ChainReservation, Reservation>,
    pub(super) learns_room: bool,
    other_entries_load_at: Option<Millis>,
    crossings: CrossingBudget,
}

impl ChainRouter {
    /// Creates a router without targets for an entry in the zone `own_place`.
    #[must_use]
    pub fn new(settings: ChainSettings, model: PipelineModel, own_place: PlaceName) -> Self {
        Self {
            settings,
            model,
            own_place,
            fleet: Fleet::default(),
            reservations: SlotMap::with_key(),
            learns_room: true,
            other_entries_load_at: None,
            crossings: CrossingBudget::default(),
        }
    }

    /// The model that the targets serve, with its timings.
    #[must_use]
    pub const fn model(&self) -> &PipelineModel {
        &self.model
    }

    /// Replaces the model and its timings; running requests keep their chains.
    pub fn set_model(&mut self, model: PipelineModel) {
        self.model = model;
    }

    /// Sets the number of entries that share the targets.
    pub const fn set_entries(&mut self, entries: u32) {
        self.settings.entries = entries;
    }

    /// Sets whether refusals for lack of room, of this entry and of others, lower the room that targets
    /// are believed to have.
    pub const fn set_learns_room(&mut self, learns_room: bool) {
        self.learns_room = learns_room;
    }

    /// Replaces the list of targets that may be used in new chains.
    pub fn set_targets(&mut self, targets: Vec<ChainTarget>, now: Millis) {
        self.fleet.set(&self.model, targets, now);
    }

    /// Load on each target by this entry's requests.
    #[must_use]
    pub fn own_loads(&self) -> Vec<TargetLoad> {
        let used = self.fleet.iter().filter(|(_, member)| member.requests > 0);
        used.map(|(_, member)| TargetLoad {
            address: member.target.address,
            token_layers: member.used_token_layers as u64,
            requests: member.requests,
            received: member.received,
        })
        .collect()
    }

    /// Targets that recently didn't answer a probe of this entry.
    #[must_use]
    pub fn own_lost_targets(&self, now: Millis) -> Vec<SocketAddr> {
        let listed = self.fleet.iter();
        let lost = listed.filter(|(_, member)| member.health.was_lost_recently(now));
        lost.map(|(_, member)| member.target.address).collect()
    }

    /// Stores the load of all other entries together and suspects the targets that they have lost.
    pub fn set_other_entries_load(
        &mut self,
        loads: &[TargetLoad],
        lost: &[SocketAddr],
        now: Millis,
    ) {
        self.fleet.set_other_entries_load(loads);
        self.other_entries_load_at = Some(now);
        self.draw_turns(now);
        self.raise_room(now);
        let until = now + self.settings.health.lost_by_others_ms;
        for address in lost {
            for member in self.fleet.at_address(*address) {
                member.health.suspect(until);
            }
        }
    }

    pub(super) fn other_entries(&self, now: Millis) -> OtherEntries {
        let valid_ms = report_valid_ms(self.settings.entries);
        let reported_at = self.other_entries_load_at;
        if reported_at.is_none_or(|at| now - at > valid_ms) {
            return OtherEntries::Assumed;
        }
        let other_count = f64::from(self.settings.entries.max(1)) - 1.0;
        let places = self.list_places().len().max(1);
        OtherEntries::Known {
            per_place: other_count / places as f64,
        }
    }

    /// Chooses the cheapest chain and reserves capacity for the request on its targets.
    ///
    /// # Errors
    /// Returns an error if no chain covers the layers, if none has free capacity, or if only a
    /// chain across zones would do and the limit on those is reached.
    pub fn choose(&mut self, request: &ChainRequest<'_>, now: Millis) -> Result<Chain, NoChain> {
        let search = self.search(request, now);
        let size = search.size;
        if let Some(found) = self.search_each_place(&search) {
            return Ok(self.reserve(&found, size, now));
        }
        let across = search.run(&self.fleet);
        let no_chain = match &across {
            Some(_) => NoChain::Full,
            None => self.explain(&search),
        };
        let entries = self.settings.entries;
        match across {
            Some(found) if self.crossings.allows(&self.model, size, entries, now) => {
                self.crossings.spend(self.count_crossings(&found));
                Ok(self.reserve(&found, size, now))
            }
            _ => Err(no_chain),
        }
    }

    pub(super) fn search<'a>(&'a self, request: &ChainRequest<'a>, now: Millis) -> Search<'a> {
        Search {
            model: &self.model,
            settings: &self.settings,
            size: RequestSize {
                prompt_tokens: f64::from(request.prompt_tokens),
                answer_tokens: f64::from(request.answer_tokens),
            },
            avoid: request.avoid,
            limits: request.limits,
            place: None,
            ignores_pauses: false,
            ignores_room: false,
            is_room_short: self.count_full_targets(now) > 0,
            other_entries: self.other_entries(now),
            now,
        }
    }

    fn count_crossings(&self, found: &FoundChain) -> usize {
        let places = found.parts.iter();
        let places: Vec<&PlaceName> = places
            .map(|(key, _)| &self.fleet.get(*key).target.place)
            .collect();
        let pairs = places.windows(2);
        pairs.filter(|pair| pair[0] != pair[1]).count()
    }

    pub(super) fn search_each_place(&self, search: &Search<'_>) -> Option<FoundChain> {
        let found = self.list_places().into_iter().filter_map(|place| {
            let found = Search {
                place: Some(&place),
                ..*search
            }
            .run(&self.fleet)?;
            let is_own_place = place == self.own_place;
            let factor = if is_own_place {
                1.0
            } else {
                self.settings.other_place_factor
            };
            Some((found.cost_ms * factor, found))
        });
        let best = found.min_by(|left, right| left.0.total_cmp(&right.0));
        best.map(|(_, found)| found)
    }

    pub(super) fn list_places(&self) -> Vec<PlaceName> {
        let places = self.fleet.iter();
        let mut places: Vec<PlaceName> = places
            .map(|(_, member)| member.target.place.clone())
            .collect();
        places.sort_unstable();
        places.dedup();
        places
    }

    /// Finds out why a search failed: a lack of targets, a lack of capacity, rate limits, or blocked targets
    /// that may soon be usable again.
    fn explain(&self, search: &Search<'_>) -> NoChain {
        let with_capacity = Search {
            ignores_room: true,
            ..*search
        };
        if with_capacity.run(&self.fleet).is_some() {
            return NoChain::Full;
        }
        let without_limits = Search {
            limits: None,
            ..with_capacity
        };
        if search.limits.is_some() && without_limits.run(&self.fleet).is_some() {
            return NoChain::Limited;
        }
        if let Some(until) = self.first_pause_end(search.now) {
            let without_pauses = Search {
                ignores_pauses: true,
                ..without_limits
            };
            if without_pauses.run(&self.fleet).is_some() {
                return NoChain::Paused { until };
            }
        }
        if self.load(search.now).blocked > 0 {
            NoChain::Suspected
        } else {
            NoChain::Uncovered
        }
    }

    /// When the first of the pauses that targets asked for ends.
    fn first_pause_end(&self, now: Millis) -> Option<Millis> {
        let pauses = self.fleet.iter();
        let ends = pauses.filter_map(|(_, member)| member.health.pause_end(now));
        ends.min()
    }

    fn reserve(&mut self, found: &FoundChain, size: RequestSize, now: Millis) -> Chain {
        let mut hops = Vec::with_capacity(found.parts.len());
        for (at, &(key, layers)) in found.parts.iter().enumerate() {
            let member = self.fleet.get_mut(key);
            if at == 0 {
                member.received += 1;
                member.received_since_report += 1.0;
            }
            member.requests += 1;
            let token_layers = size.kv_tokens() * f64::from(layers.count());
            member.used_token_layers += token_layers;
            member.used_peak = member.used_peak.max(member.used_token_layers);
            member.token_layers_since_report += token_layers;
            hops.push(member.target.to_hop(layers));
        }
        let reservation = self.reservations.insert(Reservation {
            parts: found.parts.clone(),
            kv_tokens: size.kv_tokens(),
            chosen_at: now,
            has_begun: false,
        });
        Chain {
            hops,
            cost_ms: found.cost_ms,
            reservation,
        }
    }

    /// Releases the capacity that a request has reserved.
    pub fn release(&mut self, reservation: ChainReservation) {
        let Some(reserved) = self.reservations.remove(reservation) else {
            return;
        };
        for (at, (key, layers)) in reserved.parts.into_iter().enumerate() {
            let member = self.fleet.get_mut(key);
            if at == 0 {
                member.received = member.received.saturating_sub(1);
                member.received_since_report = (member.received_since_report - 1.0).max(0.0);
            }
            member.requests = member.requests.saturating_sub(1);
            let token_layers = reserved.kv_tokens * f64::from(layers.count());
            member.used_token_layers = (member.used_token_layers - token_layers).max(0.0);
            member.token_layers_since_report =
                (member.token_layers_since_report - token_layers).max(0.0);
        }
    }

    /// Name of the target at an address, if it may be used in new chains.
    #[must_use]
    pub fn name_at(&self, address: SocketAddr) -> Option<TargetName> {
        let mut listed = self.fleet.iter();
        let found = listed.find(|(_, member)| member.target.address == address);
        found.map(|(_, member)| member.target.name.clone())
    }

    /// This entry's requests that have reserved a chain.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.reservations.len()
    }

    /// Summarizes the load on the targets.
    #[must_use]
    pub fn load(&self, now: Millis) -> ChainLoad {
        let blocked = self.fleet.iter();
        let blocked = blocked.filter(|(_, member)| member.health.is_blocked(now));
        let other_entries = self.other_entries(now);
        let (used, capacity) = self
            .fleet
            .iter()
            .fold((0.0, 0.0), |(used, all), (_, member)| {
                let utilization = Utilization::of(member, other_entries, &self.settings);
                let capacity = member.capacity_token_layers;
                (used + utilization.kv_share * capacity, all + capacity)
            });
        ChainLoad {
            targets: self.fleet.iter().count(),
            blocked: blocked.count(),
            requests: self.requests(),
            entries: self.settings.entries,
            knows_other_entries: other_entries != OtherEntries::Assumed,
            used_share: used / f64::max(capacity, 1.0),
        }
    }
}
