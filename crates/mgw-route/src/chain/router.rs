//! Chooses the chain of each request and keeps account of what runs where.

use std::net::SocketAddr;

use mgw_world::{LayerRange, Millis, PipelineModel, PlaceName, TargetName};
use slotmap::{SlotMap, new_key_type};

use super::TargetLoad;
use super::cost::{Others, Room, Work};
use super::crossing::CrossingBudget;
use super::fleet::{ChainTarget, Fleet, MemberKey};
use super::health::HealthSettings;
use super::search::{Found, Search};

new_key_type! {
    /// A request's place on the targets of its chain; given back with [`ChainRouter::release`].
    pub struct ChainReservation;
}

/// Settings of the choice of chains.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChainSettings {
    /// Entries that share the targets; each takes an equal part of their memory.
    pub entries: u32,
    /// Part of a target's KV cache that requests may take by estimate. The estimate counts whole
    /// answers, of which half is still to come on average.
    pub full_share: f64,
    /// How long the other entries' word on their use is believed.
    pub others_ms: Millis,
    /// Cost of each target of a chain: the failure of any of them stops the request.
    pub hop_ms: f64,
    /// Factor on the cost of a chain in another zone than the entry's own: answers over links
    /// between zones cost more and suffer with those links.
    pub far_factor: f64,
    /// Factor on the time of moving a prompt between zones, for the queue on that link.
    pub crossing_factor: f64,
    /// Judgement of targets.
    pub health: HealthSettings,
}

impl Default for ChainSettings {
    fn default() -> Self {
        Self {
            entries: 1,
            full_share: 0.9,
            others_ms: Millis(2_500),
            hop_ms: 25.0,
            far_factor: 2.0,
            crossing_factor: 4.0,
            health: HealthSettings::default(),
        }
    }
}

/// A request that needs a chain.
#[derive(Debug, Clone, Copy)]
pub struct ChainRequest<'a> {
    /// Tokens of the prompt, with those of the answer that were sent before.
    pub prompt_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: u32,
    /// Targets that shall not take part.
    pub avoid: &'a [TargetName],
}

/// One target of a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hop {
    /// The target.
    pub target: TargetName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Layers that it runs.
    pub layers: LayerRange,
}

/// Targets that cover all layers in order.
#[derive(Debug, Clone)]
pub struct Chain {
    /// The targets, the one that takes the request first.
    pub hops: Vec<Hop>,
    /// Estimate of the request's whole time on them.
    pub cost_ms: f64,
    /// The place that the request takes.
    pub reservation: ChainReservation,
}

/// Why there is no chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum NoChain {
    /// the known targets don't cover all layers
    Uncovered,
    /// the targets that aren't left out don't cover all layers
    Suspected,
    /// the targets that cover the layers have no room for the request
    Full,
}

/// Use of the targets, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ChainLoad {
    /// Targets that may take part in new chains.
    pub targets: usize,
    /// Those of them that are left out at present.
    pub blocked: usize,
    /// Requests that hold a chain.
    pub requests: usize,
    /// Entries that share the targets.
    pub entries: u32,
    /// Whether their use is known; else they are taken to use as much as this one does.
    pub knows_other_entries: bool,
    /// Sum over the targets of the KV cache that is taken to be in use, between 0 and 1.
    pub used_share: f64,
}

#[derive(Debug, Clone)]
pub(super) struct ReservedHops {
    pub parts: Vec<(MemberKey, LayerRange)>,
    kv_tokens: f64,
}

/// Chooses chains for the requests of one model at one entry.
///
/// Every entry chooses by itself and takes the others to do the same as it does, so nothing is
/// exchanged for a choice. A chain stays within one zone where one covers all layers, as a prompt's
/// activations load the links between zones far more than an answer does.
#[derive(Debug)]
pub struct ChainRouter {
    pub(super) settings: ChainSettings,
    model: PipelineModel,
    home: PlaceName,
    pub(super) fleet: Fleet,
    pub(super) reservations: SlotMap<ChainReservation, ReservedHops>,
    others_at: Option<Millis>,
    crossings: CrossingBudget,
}

impl ChainRouter {
    /// A router of an entry in the zone `home` that knows no targets yet.
    #[must_use]
    pub fn new(settings: ChainSettings, model: PipelineModel, home: PlaceName) -> Self {
        Self {
            settings,
            model,
            home,
            fleet: Fleet::default(),
            reservations: SlotMap::with_key(),
            others_at: None,
            crossings: CrossingBudget::default(),
        }
    }

    /// The model.
    #[must_use]
    pub const fn model(&self) -> &PipelineModel {
        &self.model
    }

    /// Takes the times of the model anew; what runs goes on.
    pub fn set_model(&mut self, model: PipelineModel) {
        self.model = model;
    }

    /// Takes the number of entries that share the targets.
    pub const fn set_entries(&mut self, entries: u32) {
        self.settings.entries = entries;
    }

    /// Takes the list of targets that may take part in new chains.
    pub fn set_targets(&mut self, targets: Vec<ChainTarget>, now: Millis) {
        self.fleet.set(&self.model, targets, now);
    }

    /// Use of each target by the requests of this process.
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

    /// Targets that didn't answer a probe of this entry lately.
    #[must_use]
    pub fn own_lost_targets(&self, now: Millis) -> Vec<SocketAddr> {
        let listed = self.fleet.iter();
        let lost = listed.filter(|(_, member)| member.standing.was_lost_lately(now));
        lost.map(|(_, member)| member.target.address).collect()
    }

    /// Takes the use of all other entries together, and the targets that they have lost.
    pub fn set_other_entries_load(
        &mut self,
        uses: &[TargetLoad],
        lost: &[SocketAddr],
        now: Millis,
    ) {
        self.fleet.set_other_entries_load(uses);
        self.others_at = Some(now);
        let until = now + self.settings.health.lost_elsewhere_ms;
        for address in lost {
            for member in self.fleet.at_address(*address) {
                member.standing.suspect(until);
            }
        }
    }

    fn others(&self, now: Millis) -> Others {
        let heard = self.others_at;
        if heard.is_none_or(|at| now - at > self.settings.others_ms) {
            return Others::Guessed;
        }
        let further = f64::from(self.settings.entries.max(1)) - 1.0;
        let places = self.list_places().len().max(1);
        Others::Known {
            alike: further / places as f64,
        }
    }

    /// Chooses the cheapest chain and takes the request's place on it.
    ///
    /// # Errors
    /// When no chain covers the layers or none has room.
    pub fn choose(&mut self, request: &ChainRequest<'_>, now: Millis) -> Result<Chain, NoChain> {
        let work = Work {
            prompt_tokens: f64::from(request.prompt_tokens),
            answer_tokens: f64::from(request.answer_tokens),
        };
        let search = Search {
            model: &self.model,
            settings: &self.settings,
            work,
            avoid: request.avoid,
            place: None,
            others: self.others(now),
            now,
        };
        if let Some(found) = self.search_places(&search) {
            return Ok(self.take(&found, work));
        }
        let across = search.run(&self.fleet);
        let no_chain = match &across {
            Some(_) => NoChain::Full,
            None => self.explain(&search),
        };
        let entries = self.settings.entries;
        match across {
            Some(found) if self.crossings.allows(&self.model, work, entries, now) => {
                self.crossings.take(self.count_crossings(&found));
                Ok(self.take(&found, work))
            }
            _ => Err(no_chain),
        }
    }

    fn count_crossings(&self, found: &Found) -> usize {
        let places = found.parts.iter();
        let places: Vec<&PlaceName> = places
            .map(|(key, _)| &self.fleet.get(*key).target.place)
            .collect();
        let pairs = places.windows(2);
        pairs.filter(|pair| pair[0] != pair[1]).count()
    }

    fn search_places(&self, search: &Search<'_>) -> Option<Found> {
        let found = self.list_places().into_iter().filter_map(|place| {
            let found = Search {
                place: Some(&place),
                ..*search
            }
            .run(&self.fleet)?;
            let is_home = place == self.home;
            let factor = if is_home {
                1.0
            } else {
                self.settings.far_factor
            };
            Some((found.cost_ms * factor, found))
        });
        let best = found.min_by(|left, right| left.0.total_cmp(&right.0));
        best.map(|(_, found)| found)
    }

    fn list_places(&self) -> Vec<PlaceName> {
        let places = self.fleet.iter();
        let mut places: Vec<PlaceName> = places
            .map(|(_, member)| member.target.place.clone())
            .collect();
        places.sort_unstable();
        places.dedup();
        places
    }

    /// Tells a lack of targets from a lack of room and from targets that may be back at once.
    fn explain(&self, search: &Search<'_>) -> NoChain {
        let has_blocked = self.load(search.now).blocked > 0;
        let settings = ChainSettings {
            full_share: f64::INFINITY,
            ..self.settings
        };
        let roomy = Search {
            settings: &settings,
            ..*search
        };
        match roomy.run(&self.fleet) {
            Some(_) => NoChain::Full,
            None if has_blocked => NoChain::Suspected,
            None => NoChain::Uncovered,
        }
    }

    fn take(&mut self, found: &Found, work: Work) -> Chain {
        let mut hops = Vec::with_capacity(found.parts.len());
        for (at, &(key, layers)) in found.parts.iter().enumerate() {
            let member = self.fleet.get_mut(key);
            if at == 0 {
                member.received += 1;
                member.received_since += 1.0;
            }
            member.requests += 1;
            let taken = work.kv_tokens() * f64::from(layers.count());
            member.used_token_layers += taken;
            member.taken_since += taken;
            hops.push(member.target.to_hop(layers));
        }
        let reservation = self.reservations.insert(ReservedHops {
            parts: found.parts.clone(),
            kv_tokens: work.kv_tokens(),
        });
        Chain {
            hops,
            cost_ms: found.cost_ms,
            reservation,
        }
    }

    /// Gives a request's place back.
    pub fn release(&mut self, reservation: ChainReservation) {
        let Some(held) = self.reservations.remove(reservation) else {
            return;
        };
        for (at, (key, layers)) in held.parts.into_iter().enumerate() {
            let member = self.fleet.get_mut(key);
            if at == 0 {
                member.received = member.received.saturating_sub(1);
                member.received_since = (member.received_since - 1.0).max(0.0);
            }
            member.requests = member.requests.saturating_sub(1);
            let taken = held.kv_tokens * f64::from(layers.count());
            member.used_token_layers = (member.used_token_layers - taken).max(0.0);
            member.taken_since = (member.taken_since - taken).max(0.0);
        }
    }

    /// The target at an address that may take part in new chains.
    #[must_use]
    pub fn name_at(&self, address: SocketAddr) -> Option<TargetName> {
        let mut listed = self.fleet.iter();
        let found = listed.find(|(_, member)| member.target.address == address);
        found.map(|(_, member)| member.target.name.clone())
    }

    /// Requests that hold a chain.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.reservations.len()
    }

    /// Use of the targets.
    #[must_use]
    pub fn load(&self, now: Millis) -> ChainLoad {
        let blocked = self.fleet.iter();
        let blocked = blocked.filter(|(_, member)| member.standing.is_blocked(now));
        let others = self.others(now);
        let (used, capacity) = self
            .fleet
            .iter()
            .fold((0.0, 0.0), |(used, all), (_, member)| {
                let room = Room::of(member, others, &self.settings);
                let capacity = member.capacity_token_layers;
                (used + room.used_share * capacity, all + capacity)
            });
        ChainLoad {
            targets: self.fleet.iter().count(),
            blocked: blocked.count(),
            requests: self.requests(),
            entries: self.settings.entries,
            knows_other_entries: others != Others::Guessed,
            used_share: used / f64::max(capacity, 1.0),
        }
    }
}
