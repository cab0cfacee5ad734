//! The facade itself.

use std::collections::BTreeMap;

use mgw_contract::target::CacheEvent;
use mgw_world::{
    AdapterName, Incarnation, LayerRange, Link, Millis, Model, ModelName, ModelVersion, TargetName,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use super::fleet::Fleet;
use super::lane::{Lane, LaneName};
use super::reserve::Reservation;
use super::walk::{Pick, Walk};
use crate::graph::describe_plan;
use crate::prefix::PrefixIndex;
use crate::{
    AdmissionCapacity, Bound, CacheSyncState, NoPath, Path, PathRequest, ReservationKey,
    RouterSettings, Stage, TargetInput, TargetView,
};

/// When to come back after every target of a layer was full.
const FULL_RETRY_MS: Millis = Millis(200);

/// Chooses paths for the requests of one entry.
///
/// The flow that the choice follows is computed when targets or links change, not per request.
///
/// ```
/// use mgw_route::{NoPath, PathRequest, Router, RouterSettings};
/// use mgw_world::Millis;
/// let mut router = Router::new(RouterSettings { seed: 7, ..RouterSettings::default() });
/// let answer = router.choose_path(&PathRequest::default(), Millis(0));
/// assert!(matches!(answer, Err(NoPath::UnknownModel { .. })));
/// ```
#[derive(Debug)]
pub struct Router {
    pub(super) settings: RouterSettings,
    pub(super) rng: ChaCha8Rng,
    pub(super) entries: u32,
    pub(super) models: BTreeMap<ModelName, Model>,
    pub(super) links: Vec<Link>,
    pub(super) fleet: Fleet,
    pub(super) lanes: BTreeMap<LaneName, Lane>,
    pub(super) prefixes: PrefixIndex,
    pub(super) reservations: SlotMap<ReservationKey, Reservation>,
    pub(super) needs_build: bool,
    pub(super) needs_weights: bool,
}

impl Router {
    /// A router that knows no model and no target yet.
    #[must_use]
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            entries: 1,
            models: BTreeMap::new(),
            links: Vec::new(),
            fleet: Fleet::default(),
            lanes: BTreeMap::new(),
            prefixes: PrefixIndex::new(settings.max_prefixes),
            reservations: SlotMap::with_key(),
            needs_build: false,
            needs_weights: false,
        }
    }

    /// Replaces the models.
    pub fn update_models(&mut self, models: impl IntoIterator<Item = Model>) {
        let models = models.into_iter().map(|model| (model.name.clone(), model));
        let models = models.collect();
        self.needs_build |= self.models != models;
        self.models = models;
    }

    /// Replaces the links between places.
    pub fn update_links(&mut self, links: impl IntoIterator<Item = Link>) {
        let links: Vec<_> = links.into_iter().collect();
        self.needs_build |= self.links != links;
        self.links = links;
    }

    /// Sets how many live entries share the targets, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Replaces the targets that may be chosen: those missing here take no new work from now on,
    /// while paths through them keep their reservations until they are released.
    pub fn update_targets(&mut self, inputs: impl IntoIterator<Item = TargetInput>, now: Millis) {
        self.needs_build |= self.fleet.update(inputs, now, self.settings.latency);
        self.needs_weights = true;
        for key in self.fleet.remove_unused() {
            self.prefixes.remove_target(key);
        }
    }

    /// Takes in the cache events of a target; those of an unknown target are left aside.
    pub fn update_cache(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) -> CacheSyncState {
        let Some(key) = self.fleet.key(target) else {
            return CacheSyncState::Current;
        };
        self.prefixes.apply(key, incarnation, events)
    }

    /// Chooses a path and reserves a request and its KV memory at each stage.
    ///
    /// # Errors
    /// When the model is unknown, its layers aren't covered, or every target of a layer is full.
    pub fn choose_path(&mut self, request: &PathRequest, now: Millis) -> Result<Path, NoPath> {
        let name = LaneName {
            model: request.model.clone(),
            version: request.version.clone(),
            adapter: request.adapter.clone(),
        };
        let model = self.model(&name.model)?;
        let kv_bytes_per_layer = u64::from(model.kv_bytes_per_layer) * u64::from(request.tokens);
        let layers = LayerRange::new(0, model.layers);
        let layers = layers.map_err(|_| unknown_model(&name.model))?;
        self.refresh(&name, now);
        let holders = self.prefixes.find_holders(&request.prefixes);
        let lane = self.lanes.get(&name);
        let lane = lane.filter(|lane| lane.plan.flow.total > 0);
        let Some(lane) = lane else {
            return Err(not_covered(&name, layers));
        };
        let walk = Walk {
            lane,
            fleet: &self.fleet,
            excluded: &[],
            holders: &holders,
            prefix: request.prefixes.first().copied(),
            affinity_load_factor: self.settings.affinity_load_factor,
            kv_bytes_per_layer,
            entries: self.entries,
            now,
        };
        let picks = walk.find(layers, None, false, &mut self.rng);
        let picks = picks.ok_or_else(|| full(&name, layers))?;
        Ok(self.reserve(name, request, kv_bytes_per_layer, &picks))
    }

    /// Gives back what a path holds reserved; a second release of the same path does nothing.
    pub fn release(&mut self, reservation: ReservationKey) {
        let Some(reservation) = self.reservations.remove(reservation) else {
            return;
        };
        for held in &reservation.held {
            self.give_back(*held);
        }
        if let Some(lane) = self.lanes.get_mut(&reservation.lane) {
            lane.sessions = lane.sessions.saturating_sub(1);
        }
    }

    /// Replaces the stages of a path that cover `layers` by others and moves the reservation.
    ///
    /// The new stages, one where a target holds just these layers and several otherwise, stand in
    /// the path and are returned. Targets in `excluding` aren't chosen. On an error the path and
    /// its reservation stay as they were.
    ///
    /// # Errors
    /// When `layers` isn't the range of whole stages of the path, or no other targets cover it.
    pub fn replace_stage(
        &mut self,
        path: &mut Path,
        layers: LayerRange,
        excluding: &[TargetName],
        now: Millis,
    ) -> Result<Vec<Stage>, NoPath> {
        let is_first = |stage: &Stage| stage.layers.first() == layers.first();
        let is_last = |stage: &Stage| stage.layers.end() == layers.end();
        let first = path.stages.iter().position(is_first);
        let last = path.stages.iter().position(is_last);
        let not_in_path = NoPath::NotInPath { layers };
        let (Some(first), Some(last)) = (first, last) else {
            return Err(not_in_path);
        };
        let Some(reservation) = self.reservations.get(path.reservation) else {
            return Err(not_in_path);
        };
        let name = reservation.lane.clone();
        let kv_bytes_per_layer = reservation.kv_bytes_per_layer;
        self.refresh(&name, now);
        let before = first
            .checked_sub(1)
            .map(|index| path.stages[index].target.clone());
        let picks =
            self.find_replacement(&name, layers, before, excluding, kv_bytes_per_layer, now)?;
        let stages = self.stages(&name, &picks);
        self.move_reservation(path.reservation, layers, &stages, &picks);
        path.stages.splice(first..=last, stages.iter().cloned());
        Ok(stages)
    }

    /// Takes in the latency of one step at a target.
    pub fn observe_step(&mut self, target: &TargetName, latency_ms: Millis) {
        if let Some(record) = self.record_mut(target) {
            record.observe(latency_ms);
        }
    }

    /// Takes a target out of choice for a while after a local failure; longer with each further one.
    ///
    /// Where nothing else covers a model, suspect targets stay in choice.
    pub fn suspect(&mut self, target: &TargetName, now: Millis) {
        let settings = self.settings;
        if let Some(record) = self.record_mut(target) {
            record.suspect(&settings, now);
            self.needs_build = true;
        }
    }

    /// The largest token rate that the targets in choice allow for a model version.
    #[must_use]
    pub fn bound(
        &mut self,
        model: &ModelName,
        version: &ModelVersion,
        adapter: Option<&AdapterName>,
        now: Millis,
    ) -> Option<Bound> {
        let name = lane_name(model, version, adapter);
        self.refresh(&name, now);
        let lane = self.lanes.get(&name)?;
        Some(describe_plan(&lane.graph, &lane.plan))
    }

    /// What this entry may run at once for a model version, for its [`crate::Admission`].
    ///
    /// Requests are this entry's share of what the scarcest layer takes. KV memory is counted over
    /// all layers together.
    #[must_use]
    pub fn capacity(
        &mut self,
        model: &ModelName,
        version: &ModelVersion,
        adapter: Option<&AdapterName>,
        now: Millis,
    ) -> Option<AdmissionCapacity> {
        let name = lane_name(model, version, adapter);
        self.refresh(&name, now);
        let lane = self.lanes.get(&name)?;
        Some(lane.capacity(&self.fleet, self.entries))
    }

    /// All targets as this router sees them, in the order of their names.
    #[must_use]
    pub fn targets(&self) -> Vec<TargetView> {
        self.fleet.views(self.entries)
    }

    /// Prefixes that this router believes to be cached, each counted once for each holder.
    #[must_use]
    pub fn cached_prefixes(&self) -> usize {
        self.prefixes.len()
    }

    fn model(&self, name: &ModelName) -> Result<&Model, NoPath> {
        self.models.get(name).ok_or_else(|| unknown_model(name))
    }

    fn record_mut(&mut self, target: &TargetName) -> Option<&mut super::fleet::Record> {
        let key = self.fleet.key(target)?;
        self.fleet.get_mut(key)
    }

    fn find_replacement(
        &mut self,
        name: &LaneName,
        layers: LayerRange,
        before: Option<TargetName>,
        excluding: &[TargetName],
        kv_bytes_per_layer: u64,
        now: Millis,
    ) -> Result<Vec<Pick>, NoPath> {
        let excluded = excluding.iter().filter_map(|it| self.fleet.key(it));
        let excluded: Vec<_> = excluded.collect();
        let Some(lane) = self.lanes.get(name) else {
            return Err(not_covered(name, layers));
        };
        let from = before.and_then(|target| {
            let record = self.fleet.get(self.fleet.key(&target)?)?;
            lane.graph.places.binary_search(&record.target.place).ok()
        });
        let walk = Walk {
            lane,
            fleet: &self.fleet,
            excluded: &excluded,
            holders: &[],
            prefix: None,
            affinity_load_factor: self.settings.affinity_load_factor,
            kv_bytes_per_layer,
            entries: self.entries,
            now,
        };
        let single = walk.find(layers, from, true, &mut self.rng);
        let picks = single.or_else(|| walk.find(layers, from, false, &mut self.rng));
        picks.ok_or_else(|| full(name, layers))
    }
}

fn lane_name(model: &ModelName, version: &ModelVersion, adapter: Option<&AdapterName>) -> LaneName {
    LaneName {
        model: model.clone(),
        version: version.clone(),
        adapter: adapter.cloned(),
    }
}

fn unknown_model(model: &ModelName) -> NoPath {
    NoPath::UnknownModel {
        model: model.clone(),
    }
}

fn not_covered(name: &LaneName, layers: LayerRange) -> NoPath {
    NoPath::NotCovered {
        model: name.model.clone(),
        version: name.version.clone(),
        layers,
    }
}

fn full(name: &LaneName, layers: LayerRange) -> NoPath {
    NoPath::Full {
        model: name.model.clone(),
        layers,
        retry_after_ms: FULL_RETRY_MS,
    }
}
