//! The record of one node: what it says of itself and of the targets that it is home to.

use std::collections::BTreeMap;

use mgw_world::{Incarnation, Millis, TargetName};

use crate::{Age, LoadLevel, NodeDelta, NodeInfo, TargetChange, Vouch, Want};

/// A target within the record of its home.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub version: u64,
    pub vouch: Vouch,
    pub load: LoadLevel,
}

/// A node's record as another node, or the node itself, holds it.
#[derive(Debug, Clone)]
pub(crate) struct Origin {
    pub info: NodeInfo,
    /// Version up to which the record is whole.
    pub version: u64,
    /// Releases older than this version are no longer known.
    pub floor: u64,
    pub targets: BTreeMap<TargetName, Held>,
    pub released: BTreeMap<TargetName, (u64, Millis)>,
    /// When the record was current, on the local clock; `None` when never.
    pub confirmed_at: Option<Millis>,
    /// Since when this incarnation is known here.
    pub known_since: Millis,
    /// When the record was last used at all, for forgetting.
    pub touched_at: Millis,
}

impl Origin {
    pub fn new(info: NodeInfo, now: Millis) -> Self {
        Self {
            info,
            version: 0,
            floor: 0,
            targets: BTreeMap::new(),
            released: BTreeMap::new(),
            confirmed_at: None,
            known_since: now,
            touched_at: now,
        }
    }

    pub const fn incarnation(&self) -> Incarnation {
        self.info.incarnation
    }

    pub fn age(&self, now: Millis) -> Millis {
        self.confirmed_at.map_or(Millis::MAX, |at| now - at)
    }

    /// Moves the point at which the record was current forward, never back.
    pub fn confirm(&mut self, at: Millis) -> bool {
        if self.confirmed_at.is_some_and(|known| known >= at) {
            return false;
        }
        self.confirmed_at = Some(at);
        self.touched_at = self.touched_at.max(at);
        true
    }

    pub fn loads(&self) -> impl Iterator<Item = LoadLevel> + '_ {
        self.targets.values().map(|held| held.load)
    }

    pub fn set_loads(&mut self, loads: &[LoadLevel]) {
        if loads.len() == self.targets.len() {
            for (held, load) in self.targets.values_mut().zip(loads) {
                held.load = *load;
            }
        }
    }

    /// Records a change made by the node itself.
    pub fn vouch(&mut self, vouch: Vouch, load: LoadLevel) {
        self.version += 1;
        let name = vouch.target.name.clone();
        self.released.remove(&name);
        let version = self.version;
        self.targets.insert(
            name,
            Held {
                version,
                vouch,
                load,
            },
        );
    }

    pub fn release(&mut self, name: &TargetName, now: Millis) {
        if self.targets.remove(name).is_some() {
            self.version += 1;
            self.released.insert(name.clone(), (self.version, now));
        }
    }

    pub fn forget_releases(&mut self, before: Millis) {
        let mut floor = self.floor;
        self.released.retain(|_, (version, at)| {
            let keep = *at >= before;
            if !keep {
                floor = floor.max(*version);
            }
            keep
        });
        self.floor = floor;
    }

    /// What to ask for to bring this record up to date.
    pub fn want(&self) -> Want {
        Want {
            id: self.info.id(),
            incarnation: self.info.incarnation,
            since: self.version,
            releases_since: self.version.max(self.floor),
        }
    }

    /// Differences for an asker, cut short at the cap.
    pub fn delta(&self, want: &Want, age: Age, cap_bytes: usize) -> NodeDelta {
        let known = want.incarnation == self.info.incarnation;
        let reset = !known || want.since == 0 || want.releases_since < self.floor;
        let since = if reset { 0 } else { want.since };
        let changes = self.changes_after(since, reset);
        let mut delta = NodeDelta {
            info: self.info.clone(),
            since,
            reset,
            latest: self.version,
            through: self.version,
            age,
            changes: Vec::new(),
        };
        let mut bytes = encoded_bytes(&delta) + 1;
        let total = changes.len();
        for change in changes {
            bytes += encoded_bytes(&change);
            if bytes > cap_bytes && !delta.changes.is_empty() {
                break;
            }
            delta.changes.push(change);
        }
        if delta.changes.len() < total {
            delta.through = delta.changes.last().map_or(since, TargetChange::version);
            delta.age = Age::UNKNOWN;
        }
        delta
    }

    fn changes_after(&self, since: u64, reset: bool) -> Vec<TargetChange> {
        let mut changes: Vec<TargetChange> = self
            .targets
            .values()
            .filter(|held| held.version > since)
            .map(|held| TargetChange::Vouched(held.version, held.vouch.clone()))
            .collect();
        if !reset {
            let released = self.released.iter().filter(|(_, entry)| entry.0 > since);
            changes.extend(released.map(|(name, e)| TargetChange::Released(e.0, name.clone())));
        }
        changes.sort_by_key(TargetChange::version);
        changes
    }

    /// Applies differences; returns the names touched, or `None` when they are out of date.
    pub fn apply(&mut self, delta: &NodeDelta, now: Millis) -> Option<Vec<TargetName>> {
        let mut touched = Vec::new();
        if delta.latest < self.version {
            return None;
        }
        if delta.reset {
            touched.extend(self.targets.keys().cloned());
            self.targets.clear();
            self.released.clear();
            self.floor = delta.latest;
        } else if delta.since > self.version || delta.through < self.version {
            return None;
        }
        for change in &delta.changes {
            touched.push(self.apply_change(change, now));
        }
        self.version = delta.through;
        self.info = delta.info.clone();
        Some(touched)
    }

    fn apply_change(&mut self, change: &TargetChange, now: Millis) -> TargetName {
        match change {
            TargetChange::Vouched(version, vouch) => {
                let name = vouch.target.name.clone();
                let load = self.targets.get(&name).map(|held| held.load);
                self.released.remove(&name);
                let held = Held {
                    version: *version,
                    vouch: vouch.clone(),
                    load: load.unwrap_or_default(),
                };
                self.targets.insert(name.clone(), held);
                name
            }
            TargetChange::Released(version, name) => {
                self.targets.remove(name);
                self.released.insert(name.clone(), (*version, now));
                name.clone()
            }
        }
    }
}

/// Bytes that a message takes on the wire.
pub(crate) fn encoded_bytes<T: serde::Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}
