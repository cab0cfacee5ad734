//! Reserves requests and KV memory at the targets of a path, and releases them.

use mgw_world::{LayerRange, Millis};

use super::facade::Router;
use super::fleet::TargetKey;
use super::path_search::SelectedTarget;
use super::routing_table::ModelVariant;
use crate::{Path, PathRequest, ReservationKey, Stage};

/// Capacity reserved for one stage of a path: one request and its KV memory.
#[derive(Debug, Clone, Copy)]
pub(super) struct StageReservation {
    pub key: TargetKey,
    pub layers: LayerRange,
    pub kv_bytes: u64,
}

/// Capacity reserved for a path.
#[derive(Debug)]
pub(super) struct Reservation {
    pub variant: ModelVariant,
    pub kv_bytes_per_layer: u64,
    pub stages: Vec<StageReservation>,
}

impl Router {
    /// Reserves capacity at the selected targets, records the prompt's prefixes as cached there,
    /// and returns the path.
    pub(super) fn reserve(
        &mut self,
        variant: ModelVariant,
        request: &PathRequest,
        kv_bytes_per_layer: u64,
        selected: &[SelectedTarget],
        now: Millis,
    ) -> Path {
        let stages = self.stages(&variant, selected);
        let stage_reservations = self.reserve_stages(&stages, selected, kv_bytes_per_layer);
        for target in selected {
            for prefix in &request.prefixes {
                self.prefixes.insert(target.key, *prefix, now);
            }
        }
        if let Some(table) = self.tables.get_mut(&variant) {
            table.active_paths += 1;
        }
        let reservation = self.reservations.insert(Reservation {
            variant,
            kv_bytes_per_layer,
            stages: stage_reservations,
        });
        Path {
            model: request.model.clone(),
            version: request.version.clone(),
            adapter: request.adapter.clone(),
            stages,
            reservation,
        }
    }

    /// Describes the selected targets as stages of a path.
    pub(super) fn stages(&self, variant: &ModelVariant, selected: &[SelectedTarget]) -> Vec<Stage> {
        let Some(table) = self.tables.get(variant) else {
            return Vec::new();
        };
        let stages = selected.iter().filter_map(|selected| {
            let target = &self.fleet.get(selected.key)?.target;
            Some(Stage {
                target: target.name.clone(),
                incarnation: target.incarnation,
                address: target.address,
                layers: table.graph.groups[selected.group].layers,
            })
        });
        stages.collect()
    }

    /// Reserves one request and its KV memory at the target of each stage.
    fn reserve_stages(
        &mut self,
        stages: &[Stage],
        selected: &[SelectedTarget],
        kv_bytes_per_layer: u64,
    ) -> Vec<StageReservation> {
        let mut reservations = Vec::with_capacity(selected.len());
        for (stage, target) in stages.iter().zip(selected) {
            let kv_bytes = kv_bytes_per_layer.saturating_mul(u64::from(stage.layers.count()));
            if let Some(state) = self.fleet.get_mut(target.key) {
                state.in_flight += 1;
                state.kv_bytes = state.kv_bytes.saturating_add(kv_bytes);
            }
            reservations.push(StageReservation {
                key: target.key,
                layers: stage.layers,
                kv_bytes,
            });
        }
        reservations
    }

    /// Releases the request and KV memory that a stage reserved at its target.
    pub(super) fn release_stage(&mut self, reserved: StageReservation) {
        if let Some(state) = self.fleet.get_mut(reserved.key) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.kv_bytes = state.kv_bytes.saturating_sub(reserved.kv_bytes);
        }
    }

    /// Releases the stages of a reservation within `layers` and reserves the new stages instead.
    pub(super) fn move_reservation(
        &mut self,
        key: ReservationKey,
        layers: LayerRange,
        stages: &[Stage],
        selected: &[SelectedTarget],
    ) {
        let Some(reservation) = self.reservations.get(key) else {
            return;
        };
        let is_replaced = |stage: &StageReservation| {
            layers.first() <= stage.layers.first() && stage.layers.end() <= layers.end()
        };
        let kv_bytes_per_layer = reservation.kv_bytes_per_layer;
        let (replaced, mut remaining): (Vec<_>, Vec<_>) =
            reservation.stages.iter().partition(|it| is_replaced(it));
        for stage in replaced {
            self.release_stage(stage);
        }
        remaining.extend(self.reserve_stages(stages, selected, kv_bytes_per_layer));
        if let Some(reservation) = self.reservations.get_mut(key) {
            reservation.stages = remaining;
        }
    }
}
