//! The versioned record of one node: its own description and the targets that it is home to.

use std::collections::BTreeMap;

use mgw_world::{Incarnation, Millis, TargetName};

use crate::{Age, LoadLevel, NodeDelta, NodeInfo, TargetChange, Vouch, Want};

/// A target within the record of its home.
#[derive(Debug, Clone)]
pub(crate) struct TargetRecord {
    pub version: u64,
    pub vouch: Vouch,
    pub load: LoadLevel,
}

/// This node's copy of a node's record, its own or that of another node.
#[derive(Debug, Clone)]
pub(crate) struct NodeRecord {
    pub info: NodeInfo,
    /// Version up to which the record is complete.
    pub version: u64,
    /// Releases up to this version are no longer stored.
    pub release_floor: u64,
    pub targets: BTreeMap<TargetName, TargetRecord>,
    /// Tombstones: the version of the release and when this node stored it.
    pub released: BTreeMap<TargetName, (u64, Millis)>,
    /// Latest time, on the local clock, at which the record was current; `None` if that was never
    /// confirmed.
    pub confirmed_at: Option<Millis>,
    /// When this node first learned of the incarnation.
    pub known_since: Millis,
    /// Latest time at which the record was current or a delta of it arrived; decides when the
    /// record is removed.
    pub updated_at: Millis,
}

impl NodeRecord {
    pub fn new(info: NodeInfo, now: Millis) -> Self {
        Self {
            info,
            version: 0,
            release_floor: 0,
            targets: BTreeMap::new(),
            released: BTreeMap::new(),
            confirmed_at: None,
            known_since: now,
            updated_at: now,
        }
    }

    pub const fn incarnation(&self) -> Incarnation {
        self.info.incarnation
    }

    pub fn age(&self, now: Millis) -> Millis {
        self.confirmed_at.map_or(Millis::MAX, |at| now - at)
    }

    /// Moves `confirmed_at` forward, never back. Returns whether it moved.
    pub fn confirm(&mut self, at: Millis) -> bool {
        if self.confirmed_at.is_some_and(|known| known >= at) {
            return false;
        }
        self.confirmed_at = Some(at);
        self.updated_at = self.updated_at.max(at);
        true
    }

    pub fn loads(&self) -> impl Iterator<Item = LoadLevel> + '_ {
        self.targets.values().map(|target| target.load)
    }

    /// Sets the loads of all targets, in order of name; ignored if the number differs.
    pub fn set_loads(&mut self, loads: &[LoadLevel]) {
        if loads.len() == self.targets.len() {
            for (target, load) in self.targets.values_mut().zip(loads) {
                target.load = *load;
            }
        }
    }

    /// Adds or replaces a vouch in the node's own record, as a new version.
    pub fn vouch(&mut self, vouch: Vouch, load: LoadLevel) {
        self.version += 1;
        let name = vouch.target.name.clone();
        self.released.remove(&name);
        let version = self.version;
        self.targets.insert(
            name,
            TargetRecord {
                version,
                vouch,
                load,
            },
        );
    }

    /// Removes a target from the node's own record, as a new version, and leaves a tombstone.
    pub fn release(&mut self, name: &TargetName, now: Millis) {
        if self.targets.remove(name).is_some() {
            self.version += 1;
            self.released.insert(name.clone(), (self.version, now));
        }
    }

    /// Removes the tombstones that were stored before this time.
    pub fn remove_old_releases(&mut self, before: Millis) {
        let mut release_floor = self.release_floor;
        self.released.retain(|_, (version, at)| {
            let keep = *at >= before;
            if !keep {
                release_floor = release_floor.max(*version);
            }
            keep
        });
        self.release_floor = release_floor;
    }

    /// The request that brings this copy of the record up to date.
    pub fn want(&self) -> Want {
        Want {
            id: self.info.id(),
            incarnation: self.info.incarnation,
            since: self.version,
            releases_since: self.version.max(self.release_floor),
        }
    }

    /// Changes for a requester, truncated at the size limit; at least one if there is any.
    pub fn delta(&self, want: &Want, age: Age, cap_bytes: usize) -> NodeDelta {
        let same_incarnation = want.incarnation == self.info.incarnation;
        let reset =
            !same_incarnation || want.since == 0 || want.releases_since < self.release_floor;
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
            .filter(|target| target.version > since)
            .map(|target| TargetChange::Vouched(target.version, target.vouch.clone()))
            .collect();
        if !reset {
            let released = self
                .released
                .iter()
                .filter(|(_, release)| release.0 > since);
            changes.extend(
                released.map(|(name, release)| TargetChange::Released(release.0, name.clone())),
            );
        }
        changes.sort_by_key(TargetChange::version);
        changes
    }

    /// Applies a delta. Returns the names of the changed targets, or `None` if the delta does not
    /// fit the version of this copy.
    pub fn apply(&mut self, delta: &NodeDelta, now: Millis) -> Option<Vec<TargetName>> {
        let mut changed = Vec::new();
        if delta.latest < self.version {
            return None;
        }
        if delta.reset {
            changed.extend(self.targets.keys().cloned());
            self.targets.clear();
            self.released.clear();
            self.release_floor = delta.latest;
        } else if delta.since > self.version || delta.through < self.version {
            return None;
        }
        for change in &delta.changes {
            changed.push(self.apply_change(change, now));
        }
        self.version = delta.through;
        self.info = delta.info.clone();
        Some(changed)
    }

    fn apply_change(&mut self, change: &TargetChange, now: Millis) -> TargetName {
        match change {
            TargetChange::Vouched(version, vouch) => {
                let name = vouch.target.name.clone();
                let load = self.targets.get(&name).map(|target| target.load);
                self.released.remove(&name);
                let target = TargetRecord {
                    version: *version,
                    vouch: vouch.clone(),
                    load: load.unwrap_or_default(),
                };
                self.targets.insert(name.clone(), target);
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

/// Encoded size of a message.
pub(crate) fn encoded_bytes<T: serde::Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}
