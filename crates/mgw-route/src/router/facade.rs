//! The public interface of the router.

use std::collections::BTreeMap;

use mgw_contract::target::CacheEvent;
use mgw_world::{
    AdapterName, Incarnation, LayerRange, Link, Millis, Model, ModelName, ModelVersion, Target,
    TargetName,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use super::fleet::Fleet;
use super::path_search::{PathSearch, SelectedTarget};
use super::reserve::Reservation;
use super::routing_table::{ModelVariant, RoutingTable};
use crate::graph::describe_plan;
use crate::prefix::{PrefixDemand, PrefixIndex};
use crate::{
    AdmissionCapacity, Bound, CacheSyncState, NoPath, Path, PathRequest, PrefixRule,
    ReservationKey, RouterSettings, Stage, TargetInput, TargetView,
};

/// How long a caller should wait before a retry when every target of a layer is full.
const FULL_RETRY_MS: Millis = Millis(200);

/// Chooses paths for the requests of one entry.
///
/// The planned flow that choices follow is recomputed when models, targets or links change, not for
/// each request.
///
/// ```
/// use mgw_route::{NoPath, PathRequest, Router, RouterSettings};
/// use mgw_world::Millis;
/// let mut router = Router::new(RouterSettings { seed: 7, ..RouterSettings::default() });
/// let result = router.choose_path(&PathRequest::default(), Millis(0));
/// assert!(matches!(result, Err(NoPath::UnknownModel { .. })));
/// ```
#[derive(Debug)]
pub struct Router {
    pub(super) settings: RouterSettings,
    pub(super) rng: ChaCha8Rng,
    pub(super) entries: u32,
    pub(super) models: BTreeMap<ModelName, Model>,
    pub(super) links: Vec<Link>,
    pub(super) fleet: Fleet,
    pub(super) tables: BTreeMap<ModelVariant, RoutingTable>,
    pub(super) prefixes: PrefixIndex,
    prefix_demand: PrefixDemand,
    /// When the targets were last updated.
    targets_updated_at: Millis,
    pub(super) reservations: SlotMap<ReservationKey, Reservation>,
    pub(super) needs_rebuild: bool,
    pub(super) needs_weight_update: bool,
}

impl Router {
    /// Creates a router without models, links and targets.
    #[must_use]
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            entries: 1,
            models: BTreeMap::new(),
            links: Vec::new(),
            fleet: Fleet::default(),
            tables: BTreeMap::new(),
            prefixes: PrefixIndex::new(settings.max_prefixes),
            prefix_demand: PrefixDemand::default(),
            targets_updated_at: Millis::ZERO,
            reservations: SlotMap::with_key(),
            needs_rebuild: false,
            needs_weight_update: false,
        }
    }

    /// Replaces all models.
    pub fn update_models(&mut self, models: impl IntoIterator<Item = Model>) {
        let models = models.into_iter().map(|model| (model.name.clone(), model));
        let models = models.collect();
        self.needs_rebuild |= self.models != models;
        self.models = models;
    }

    /// Replaces all links between places.
    pub fn update_links(&mut self, links: impl IntoIterator<Item = Link>) {
        let links: Vec<_> = links.into_iter().collect();
        self.needs_rebuild |= self.links != links;
        self.links = links;
    }

    /// Sets the number of live entries that share the targets, including this one; at least one.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Replaces the targets that may be chosen.
    ///
    /// Targets missing from `inputs` get no new requests; existing paths through them keep their
    /// reservations until they are released.
    pub fn update_targets(&mut self, inputs: impl IntoIterator<Item = TargetInput>, now: Millis) {
        let inputs: Vec<TargetInput> = inputs.into_iter().collect();
        for input in &inputs {
            self.forget_lost_prefixes(&input.target);
        }
        self.targets_updated_at = now;
        self.needs_rebuild |= self.fleet.update(inputs, now, self.settings.latency);
        self.needs_weight_update = true;
        for key in self.fleet.remove_unused() {
            self.prefixes.remove_target(key);
        }
    }

    /// Removes the cached prefixes of a target that has restarted or has loaded other weights.
    fn forget_lost_prefixes(&mut self, target: &Target) {
        let Some(key) = self.fleet.key(&target.name) else {
            return;
        };
        let Some(known) = self.fleet.get(key).map(|state| &state.target) else {
            return;
        };
        if known.incarnation != target.incarnation {
            self.prefixes.begin_run(key, target.incarnation);
        } else if known.duty != target.duty {
            self.prefixes.clear_target(key);
        }
    }

    /// Applies the cache events of a target; events of an unknown target are ignored.
    pub fn apply_cache_events(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) -> CacheSyncState {
        let Some(key) = self.fleet.key(target) else {
            return CacheSyncState::Current;
        };
        self.prefixes
            .apply(key, incarnation, events, self.targets_updated_at)
    }

    /// Chooses a path and reserves one request and its KV memory at each stage.
    ///
    /// # Errors
    /// Returns an error if the model is unknown, its layers aren't covered, or every target of a
    /// layer is full.
    pub fn choose_path(&mut self, request: &PathRequest, now: Millis) -> Result<Path, NoPath> {
        let variant = ModelVariant {
            model: request.model.clone(),
            version: request.version.clone(),
            adapter: request.adapter.clone(),
        };
        let model = self.model(&variant.model)?;
        let kv_bytes_per_layer = u64::from(model.kv_bytes_per_layer) * u64::from(request.tokens);
        let layers = LayerRange::new(0, model.layers);
        let layers = layers.map_err(|_| unknown_model(&variant.model))?;
        self.refresh(&variant, now);
        if self.settings.prefix_rule == PrefixRule::Weighed {
            self.prefix_demand.record(&request.prefixes);
        }
        let prefix_holders = self.prefixes.find_holders(&request.prefixes);
        let table = self.tables.get(&variant);
        let table = table.filter(|table| table.plan.flow.total > 0);
        let Some(table) = table else {
            return Err(not_covered(&variant, layers));
        };
        let search = PathSearch {
            table,
            fleet: &self.fleet,
            excluded: &[],
            prefix_holders: &prefix_holders,
            prefixes: &request.prefixes,
            demand: &self.prefix_demand,
            prefix_rule: self.settings.prefix_rule,
            prefix_half_life_ms: self.settings.prefix_half_life_ms,
            affinity_load_factor: self.settings.affinity_load_factor,
            kv_bytes_per_layer,
            entries: self.entries,
            now,
        };
        let selected = search.find(layers, None, false, &mut self.rng);
        let selected = selected.ok_or_else(|| full(&variant, layers))?;
        Ok(self.reserve(variant, request, kv_bytes_per_layer, &selected, now))
    }

    /// Releases the capacity reserved for a path; releasing the same path again has no effect.
    pub fn release(&mut self, reservation: ReservationKey) {
        let Some(reservation) = self.reservations.remove(reservation) else {
            return;
        };
        for stage in &reservation.stages {
            self.release_stage(*stage);
        }
        if let Some(table) = self.tables.get_mut(&reservation.variant) {
            table.active_paths = table.active_paths.saturating_sub(1);
        }
    }

    /// Replaces the stages of a path that cover `layers` with other targets and moves the
    /// reservation.
    ///
    /// Inserts the new stages into the path and returns them: a single stage if an available target
    /// runs exactly these layers, otherwise several. Targets in `excluded` aren't chosen. On an
    /// error the path and its reservation are unchanged.
    ///
    /// # Errors
    /// Returns an error if `layers` doesn't match whole stages of the path, or no other targets can
    /// cover it.
    pub fn replace_stage(
        &mut self,
        path: &mut Path,
        layers: LayerRange,
        excluded: &[TargetName],
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
        let variant = reservation.variant.clone();
        let kv_bytes_per_layer = reservation.kv_bytes_per_layer;
        self.refresh(&variant, now);
        let preceding = first
            .checked_sub(1)
            .map(|index| path.stages[index].target.clone());
        let selected = self.find_replacement(
            &variant,
            layers,
            preceding,
            excluded,
            kv_bytes_per_layer,
            now,
        )?;
        let stages = self.stages(&variant, &selected);
        self.move_reservation(path.reservation, layers, &stages, &selected);
        path.stages.splice(first..=last, stages.iter().cloned());
        Ok(stages)
    }

    /// Records the latency of one step at a target, for its latency limit.
    pub fn record_step_latency(&mut self, target: &TargetName, latency_ms: Millis) {
        if let Some(state) = self.target_mut(target) {
            state.record_step_latency(latency_ms);
        }
    }

    /// Stops choosing a target for a while after a local failure; each repeated failure doubles the
    /// time.
    ///
    /// Suspect targets are still chosen if a model isn't covered without them.
    pub fn mark_suspect(&mut self, target: &TargetName, now: Millis) {
        let settings = self.settings;
        if let Some(state) = self.target_mut(target) {
            state.mark_suspect(&settings, now);
            self.needs_rebuild = true;
        }
    }

    /// Returns the largest token rate that the current targets allow for a model version.
    ///
    /// Returns `None` if the model is unknown or the version has neither targets nor active paths.
    /// Suspect targets count only if the model isn't covered without them.
    #[must_use]
    pub fn bound(
        &mut self,
        model: &ModelName,
        version: &ModelVersion,
        adapter: Option<&AdapterName>,
        now: Millis,
    ) -> Option<Bound> {
        let variant = model_variant(model, version, adapter);
        self.refresh(&variant, now);
        let table = self.tables.get(&variant)?;
        Some(describe_plan(&table.graph, &table.plan))
    }

    /// Returns the capacity of this entry for a model version, to configure its
    /// [`crate::Admission`].
    ///
    /// The number of requests is this entry's share at the layer with the lowest capacity. KV
    /// memory is summed over all layers. Returns `None` in the same cases as [`Self::bound`].
    #[must_use]
    pub fn capacity(
        &mut self,
        model: &ModelName,
        version: &ModelVersion,
        adapter: Option<&AdapterName>,
        now: Millis,
    ) -> Option<AdmissionCapacity> {
        let variant = model_variant(model, version, adapter);
        self.refresh(&variant, now);
        let table = self.tables.get(&variant)?;
        Some(table.capacity(&self.fleet, self.entries))
    }

    /// Returns this router's state of all targets, sorted by name.
    #[must_use]
    pub fn targets(&self) -> Vec<TargetView> {
        self.fleet.views(self.entries)
    }

    /// Returns the number of prefixes that this router assumes to be cached, each counted once per
    /// target.
    #[must_use]
    pub fn cached_prefixes(&self) -> usize {
        self.prefixes.len()
    }

    fn model(&self, name: &ModelName) -> Result<&Model, NoPath> {
        self.models.get(name).ok_or_else(|| unknown_model(name))
    }

    fn target_mut(&mut self, target: &TargetName) -> Option<&mut super::fleet::TargetState> {
        let key = self.fleet.key(target)?;
        self.fleet.get_mut(key)
    }

    /// Finds targets for `layers` after the stage at target `preceding`: a single target if one is
    /// available, otherwise several.
    fn find_replacement(
        &mut self,
        variant: &ModelVariant,
        layers: LayerRange,
        preceding: Option<TargetName>,
        excluded: &[TargetName],
        kv_bytes_per_layer: u64,
        now: Millis,
    ) -> Result<Vec<SelectedTarget>, NoPath> {
        let excluded = excluded.iter().filter_map(|it| self.fleet.key(it));
        let excluded: Vec<_> = excluded.collect();
        let Some(table) = self.tables.get(variant) else {
            return Err(not_covered(variant, layers));
        };
        let from = preceding.and_then(|target| {
            let state = self.fleet.get(self.fleet.key(&target)?)?;
            table.graph.places.binary_search(&state.target.place).ok()
        });
        let search = PathSearch {
            table,
            fleet: &self.fleet,
            excluded: &excluded,
            prefix_holders: &[],
            prefixes: &[],
            demand: &self.prefix_demand,
            prefix_rule: self.settings.prefix_rule,
            prefix_half_life_ms: self.settings.prefix_half_life_ms,
            affinity_load_factor: self.settings.affinity_load_factor,
            kv_bytes_per_layer,
            entries: self.entries,
            now,
        };
        let single = search.find(layers, from, true, &mut self.rng);
        let selected = single.or_else(|| search.find(layers, from, false, &mut self.rng));
        selected.ok_or_else(|| full(variant, layers))
    }
}

fn model_variant(
    model: &ModelName,
    version: &ModelVersion,
    adapter: Option<&AdapterName>,
) -> ModelVariant {
    ModelVariant {
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

fn not_covered(variant: &ModelVariant, layers: LayerRange) -> NoPath {
    NoPath::NotCovered {
        model: variant.model.clone(),
        version: variant.version.clone(),
        layers,
    }
}

fn full(variant: &ModelVariant, layers: LayerRange) -> NoPath {
    NoPath::Full {
        model: variant.model.clone(),
        layers,
        retry_after_ms: FULL_RETRY_MS,
    }
}
