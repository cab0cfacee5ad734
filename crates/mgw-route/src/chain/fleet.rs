//! The targets from which chains are built, stored in an arena.

use std::collections::HashMap;
use std::net::SocketAddr;

use mgw_world::{
    Accelerator, AcceleratorKind, Incarnation, LayerRange, Millis, PipelineModel, PlaceName,
    TargetName,
};

use super::TargetLoad;
use super::health::TargetHealth;
use super::room::Room;
use super::router::Hop;
use crate::exclusions::TargetRun;

/// A target that holds layers and may be used in new chains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainTarget {
    /// Name of the target, the same in all its incarnations.
    pub name: TargetName,
    /// Incarnation, which grows with each start of the target.
    pub incarnation: Incarnation,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub place: PlaceName,
    /// Kind of its accelerator.
    pub accelerator: AcceleratorKind,
    /// Layers that it has loaded.
    pub layers: LayerRange,
    /// Most requests in flight whose chains start at it.
    pub max_received: u32,
}

impl ChainTarget {
    /// The run of the target that this describes.
    pub(super) fn run(&self) -> TargetRun {
        TargetRun {
            name: self.name.clone(),
            incarnation: self.incarnation,
        }
    }

    /// The target as a hop of a chain that runs these layers on it.
    pub(super) fn to_hop(&self, layers: LayerRange) -> Hop {
        Hop {
            target: self.name.clone(),
            incarnation: self.incarnation,
            address: self.address,
            layers,
        }
    }
}

/// Index of a target in the arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct MemberKey(pub usize);

/// Load on a target by all other entries together.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OthersLoad {
    pub token_layers: f64,
    pub requests: f64,
    pub received: f64,
}

/// A target with its load and health as known to this entry.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub target: ChainTarget,
    pub accelerator: Accelerator,
    /// Whether it may be used in new chains.
    pub is_listed: bool,
    /// KV cache that this entry's requests may need there, in tokens times layers.
    pub used_token_layers: f64,
    /// Largest `used_token_layers` since the last report of the other entries' load.
    pub used_peak: f64,
    /// The same for the time between the last two reports.
    pub used_before_report: f64,
    /// This entry's turn among those that share what is left of the target, from 0 to 1; drawn anew
    /// with each report.
    pub turn: f64,
    /// KV cache that fits beside its weights, in tokens times layers.
    pub capacity_token_layers: f64,
    /// This entry's requests whose chains include it.
    pub requests: u32,
    /// This entry's requests whose chains start at it.
    pub received: u32,
    /// Change of `received` since the last report of the other entries' load, at least 0.
    pub received_since_report: f64,
    /// Change of `used_token_layers` since the last report of the other entries' load, at least 0.
    pub token_layers_since_report: f64,
    /// Load by all other entries together, as last reported.
    pub others_load: OthersLoad,
    pub health: TargetHealth,
    pub room: Room,
}

/// Targets that are listed now or still used by requests.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    members: Vec<Member>,
    keys: HashMap<(TargetName, Incarnation), MemberKey>,
}

impl Fleet {
    /// Replaces the list of targets; targets that are no longer listed stay while requests use
    /// them.
    pub fn set(&mut self, model: &PipelineModel, targets: Vec<ChainTarget>, now: Millis) {
        for member in &mut self.members {
            member.is_listed = false;
        }
        for target in targets {
            let Some(accelerator) = model.accelerator(&target.accelerator) else {
                continue;
            };
            let capacity = model.kv_token_layers(accelerator, target.layers.count());
            let key = (target.name.clone(), target.incarnation);
            match self.keys.get(&key).copied() {
                Some(at) => {
                    let member = &mut self.members[at.0];
                    member.target = target;
                    member.capacity_token_layers = capacity;
                    member.is_listed = true;
                }
                None => {
                    self.keys.insert(key, MemberKey(self.members.len()));
                    self.members.push(Member {
                        accelerator: accelerator.clone(),
                        is_listed: true,
                        used_token_layers: 0.0,
                        used_peak: 0.0,
                        used_before_report: 0.0,
                        turn: 0.0,
                        capacity_token_layers: capacity,
                        requests: 0,
                        received: 0,
                        received_since_report: 0.0,
                        token_layers_since_report: 0.0,
                        others_load: OthersLoad::default(),
                        health: TargetHealth::new(now),
                        room: Room::new(now),
                        target,
                    });
                }
            }
        }
        self.compact();
    }

    pub fn get(&self, key: MemberKey) -> &Member {
        &self.members[key.0]
    }

    pub fn get_mut(&mut self, key: MemberKey) -> &mut Member {
        &mut self.members[key.0]
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        let listed = self.members.iter().enumerate();
        let listed = listed.filter(|(_, member)| member.is_listed);
        listed.map(|(at, member)| (MemberKey(at), member))
    }

    /// The listed targets at an address.
    pub fn at_address(&mut self, address: SocketAddr) -> impl Iterator<Item = &mut Member> {
        let members = self.members.iter_mut();
        members.filter(move |member| member.is_listed && member.target.address == address)
    }

    /// The newest incarnation of a target.
    pub fn find(&self, name: &TargetName) -> Option<MemberKey> {
        let named = self.members.iter().enumerate();
        let named = named.filter(|(_, member)| member.target.name == *name);
        let newest = named.max_by_key(|(_, member)| member.target.incarnation);
        newest.map(|(at, _)| MemberKey(at))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        let members = self.members.iter_mut();
        members.filter(|member| member.is_listed)
    }

    /// One incarnation of a target.
    pub fn find_run(&mut self, run: &TargetRun) -> Option<&mut Member> {
        let mut members = self.members.iter_mut();
        members.find(|member| {
            member.target.name == run.name && member.target.incarnation == run.incarnation
        })
    }

    /// Stores the load of all other entries together; targets that aren't in `loads` have none.
    pub fn set_other_entries_load(&mut self, loads: &[TargetLoad]) {
        let by_address: HashMap<SocketAddr, &TargetLoad> =
            loads.iter().map(|load| (load.address, load)).collect();
        for member in &mut self.members {
            member.used_before_report = member.used_peak;
            member.used_peak = member.used_token_layers;
            member.token_layers_since_report = 0.0;
            member.received_since_report = 0.0;
            let load = by_address.get(&member.target.address);
            member.others_load = load.map_or_else(OthersLoad::default, |load| OthersLoad {
                token_layers: load.token_layers as f64,
                requests: f64::from(load.requests),
                received: f64::from(load.received),
            });
        }
    }

    /// Removes unused targets from the end of the arena only, so that keys in use stay valid.
    fn compact(&mut self) {
        while let Some(last) = self.members.last() {
            if last.is_listed || last.requests > 0 {
                return;
            }
            let key = (last.target.name.clone(), last.target.incarnation);
            self.keys.remove(&key);
            self.members.pop();
        }
    }
}
