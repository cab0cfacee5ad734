//! The facade itself.

use mgw_contract::target::CacheEvent;
use mgw_world::{
    AdapterName, Incarnation, LayerRange, Link, Millis, Model, ModelName, ModelVersion, TargetName,
};

use crate::{
    AdmissionCapacity, Bound, CacheNews, NoPath, Path, PathRequest, ReservationKey, RouterSettings,
    Stage, TargetInput, TargetView,
};

/// Chooses paths for the requests of one entry.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
}

impl Router {
    /// A router that knows no model and no target yet.
    #[must_use]
    pub const fn new(settings: RouterSettings) -> Self {
        Self { settings }
    }

    /// Replaces the models.
    pub fn update_models(&mut self, models: impl IntoIterator<Item = Model>) {
        let _ = models.into_iter().count();
    }

    /// Replaces the links between places.
    pub fn update_links(&mut self, links: impl IntoIterator<Item = Link>) {
        let _ = links.into_iter().count();
    }

    /// Sets how many live entries share the targets, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        let _ = entries;
    }

    /// Replaces the targets that may be chosen: those missing here take no new work from now on,
    /// while paths through them keep their reservations until they are released.
    pub fn update_targets(&mut self, inputs: impl IntoIterator<Item = TargetInput>, now: Millis) {
        let _ = (inputs.into_iter().count(), now);
    }

    /// Takes in the cache events of a target.
    pub fn update_cache(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) -> CacheNews {
        let _ = (target, incarnation, events, self.settings);
        CacheNews::Current
    }

    /// Chooses a path and reserves a request and its KV memory at each stage.
    ///
    /// # Errors
    /// When the model is unknown, its layers aren't covered, or every target of a layer is full.
    pub fn choose_path(&mut self, request: &PathRequest, now: Millis) -> Result<Path, NoPath> {
        let _ = now;
        Err(NoPath::UnknownModel {
            model: request.model.clone(),
        })
    }

    /// Gives back what a path holds reserved; a second release of the same path does nothing.
    pub fn release(&mut self, reservation: ReservationKey) {
        let _ = reservation;
    }

    /// Replaces the stages of a path that cover `layers` by others and moves the reservation.
    ///
    /// The new stages, one or several, stand in the path and are returned. Targets in `excluding`
    /// aren't chosen. On an error the path and its reservation stay as they were.
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
        let _ = (path, excluding, now);
        Err(NoPath::NotInPath { layers })
    }

    /// Takes in the latency of one step at a target.
    pub fn observe_step(&mut self, target: &TargetName, latency_ms: Millis) {
        let _ = (target, latency_ms);
    }

    /// Takes a target out of choice for a while after a local failure; longer with each further one.
    pub fn suspect(&mut self, target: &TargetName, now: Millis) {
        let _ = (target, now);
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
        let _ = (model, version, adapter, now);
        None
    }

    /// What this entry may run at once for a model version, for its [`crate::Admission`].
    #[must_use]
    pub fn capacity(
        &mut self,
        model: &ModelName,
        version: &ModelVersion,
        adapter: Option<&AdapterName>,
        now: Millis,
    ) -> Option<AdmissionCapacity> {
        let _ = (model, version, adapter, now);
        None
    }

    /// All targets as this router sees them, in the order of their names.
    #[must_use]
    pub fn targets(&self) -> Vec<TargetView> {
        Vec::new()
    }
}
