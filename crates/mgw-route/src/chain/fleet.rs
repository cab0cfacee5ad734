//! The targets that chains are made of, in an arena.

use std::collections::HashMap;
use std::net::SocketAddr;

use mgw_world::{
    Accelerator, AcceleratorKind, Incarnation, LayerRange, Millis, PipelineModel, PlaceName,
    TargetName,
};

use super::TargetLoad;
use super::health::Standing;
use super::router::Hop;

/// A target that holds layers and may take part in new chains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainTarget {
    /// Name of the target.
    pub name: TargetName,
    /// Its start.
    pub incarnation: Incarnation,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Zone that it stands in.
    pub place: PlaceName,
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
    /// Layers held.
    pub layers: LayerRange,
    /// Requests that it takes at once as the first of their chains.
    pub max_received: u32,
}

impl ChainTarget {
    /// The target as a part of a chain.
    pub(super) fn to_hop(&self, layers: LayerRange) -> Hop {
        Hop {
            target: self.name.clone(),
            address: self.address,
            layers,
        }
    }
}

/// Place of a target in the arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct MemberKey(pub usize);

/// Use of a target by all other entries together.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Elsewhere {
    pub token_layers: f64,
    pub requests: f64,
    pub received: f64,
}

/// A target with what this process knows of its work.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub target: ChainTarget,
    pub accelerator: Accelerator,
    /// Whether it may take part in new chains.
    pub is_listed: bool,
    /// KV cache that the requests of this process may take there, in tokens of one layer.
    pub used_token_layers: f64,
    /// KV cache beside its weights, in tokens of one layer.
    pub capacity_token_layers: f64,
    /// Requests of this process that pass through it.
    pub requests: u32,
    /// Requests of this process of whose chains it is the first.
    pub received: u32,
    /// Such requests that came, less those that ended, since the other entries' last words.
    pub received_since: f64,
    /// What requests have taken there, less what they gave back, since the other entries' last
    /// words, in tokens of one layer.
    pub taken_since: f64,
    /// Use of all other entries together, as of their last words.
    pub elsewhere: Elsewhere,
    pub standing: Standing,
}

/// All targets that were ever listed and are still in use.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    members: Vec<Member>,
    keys: HashMap<(TargetName, Incarnation), MemberKey>,
}

impl Fleet {
    /// Takes the present list; targets that are gone from it stay as long as requests use them.
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
                        capacity_token_layers: capacity,
                        requests: 0,
                        received: 0,
                        received_since: 0.0,
                        taken_since: 0.0,
                        elsewhere: Elsewhere::default(),
                        standing: Standing::new(now),
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

    /// Takes the use of all other entries together; targets that aren't named have none.
    pub fn set_other_entries_load(&mut self, uses: &[TargetLoad]) {
        let by_address: HashMap<SocketAddr, &TargetLoad> =
            uses.iter().map(|used| (used.address, used)).collect();
        for member in &mut self.members {
            member.taken_since = 0.0;
            member.received_since = 0.0;
            let used = by_address.get(&member.target.address);
            member.elsewhere = used.map_or_else(Elsewhere::default, |used| Elsewhere {
                token_layers: used.token_layers as f64,
                requests: f64::from(used.requests),
                received: f64::from(used.received),
            });
        }
    }

    /// Drops unused targets from the end of the arena, so that keys in use stay valid.
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
