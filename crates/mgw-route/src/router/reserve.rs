//! What paths hold reserved at their targets.

use mgw_world::LayerRange;

use super::facade::Router;
use super::fleet::TargetKey;
use super::lane::LaneName;
use super::walk::Pick;
use crate::{Path, PathRequest, ReservationKey, Stage};

/// What one stage of a path holds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Held {
    pub key: TargetKey,
    pub layers: LayerRange,
    pub kv_bytes: u64,
}

/// What a path holds.
#[derive(Debug)]
pub(super) struct Reservation {
    pub lane: LaneName,
    pub kv_bytes_per_layer: u64,
    pub held: Vec<Held>,
}

impl Router {
    pub(super) fn reserve(
        &mut self,
        name: LaneName,
        request: &PathRequest,
        kv_bytes_per_layer: u64,
        picks: &[Pick],
    ) -> Path {
        let stages = self.stages(&name, picks);
        let held = self.hold(&stages, picks, kv_bytes_per_layer);
        for pick in picks {
            for prefix in &request.prefixes {
                self.prefixes.insert(pick.key, *prefix);
            }
        }
        if let Some(lane) = self.lanes.get_mut(&name) {
            lane.sessions += 1;
        }
        let reservation = self.reservations.insert(Reservation {
            lane: name,
            kv_bytes_per_layer,
            held,
        });
        Path {
            model: request.model.clone(),
            version: request.version.clone(),
            adapter: request.adapter.clone(),
            stages,
            reservation,
        }
    }

    pub(super) fn stages(&self, name: &LaneName, picks: &[Pick]) -> Vec<Stage> {
        let Some(lane) = self.lanes.get(name) else {
            return Vec::new();
        };
        let stages = picks.iter().filter_map(|pick| {
            let target = &self.fleet.get(pick.key)?.target;
            Some(Stage {
                target: target.name.clone(),
                incarnation: target.incarnation,
                address: target.address,
                layers: lane.graph.groups[pick.group].layers,
            })
        });
        stages.collect()
    }

    fn hold(&mut self, stages: &[Stage], picks: &[Pick], kv_bytes_per_layer: u64) -> Vec<Held> {
        let mut all = Vec::with_capacity(picks.len());
        for (stage, pick) in stages.iter().zip(picks) {
            let kv_bytes = kv_bytes_per_layer.saturating_mul(u64::from(stage.layers.count()));
            if let Some(record) = self.fleet.get_mut(pick.key) {
                record.in_flight += 1;
                record.kv_bytes = record.kv_bytes.saturating_add(kv_bytes);
            }
            all.push(Held {
                key: pick.key,
                layers: stage.layers,
                kv_bytes,
            });
        }
        all
    }

    pub(super) fn give_back(&mut self, held: Held) {
        if let Some(record) = self.fleet.get_mut(held.key) {
            record.in_flight = record.in_flight.saturating_sub(1);
            record.kv_bytes = record.kv_bytes.saturating_sub(held.kv_bytes);
        }
    }

    pub(super) fn move_reservation(
        &mut self,
        key: ReservationKey,
        layers: LayerRange,
        stages: &[Stage],
        picks: &[Pick],
    ) {
        let Some(reservation) = self.reservations.get(key) else {
            return;
        };
        let is_left = |held: &Held| {
            layers.first() <= held.layers.first() && held.layers.end() <= layers.end()
        };
        let kv_bytes_per_layer = reservation.kv_bytes_per_layer;
        let (left, mut held): (Vec<_>, Vec<_>) =
            reservation.held.iter().partition(|it| is_left(it));
        for item in left {
            self.give_back(item);
        }
        held.extend(self.hold(stages, picks, kv_bytes_per_layer));
        if let Some(reservation) = self.reservations.get_mut(key) {
            reservation.held = held;
        }
    }
}
