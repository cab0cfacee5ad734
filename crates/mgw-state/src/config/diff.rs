//! [`ConfigDiff`], the difference between two revisions, object by object.

use std::collections::BTreeMap;

use mgw_world::{
    Link, Model, ModelName, OperatorName, Place, PlaceName, Revision, Service, ServiceName,
    TargetName, Vm, VmName, Workspace, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use super::Digest;
use crate::{ExpectedTarget, Inventory, Operator, Rules, StateError};

/// An object of the inventory that a key identifies within its section.
pub trait Keyed: Clone + PartialEq {
    /// The key's type; it orders the objects of a section.
    type Key: Clone + Ord;

    /// Returns the key of this object.
    fn key(&self) -> Self::Key;
}

macro_rules! keyed_by_name {
    ($($object:ty => $key:ty),* $(,)?) => {
        $(impl Keyed for $object {
            type Key = $key;

            fn key(&self) -> $key {
                self.name.clone()
            }
        })*
    };
}

keyed_by_name!(
    Place => PlaceName,
    Vm => VmName,
    Model => ModelName,
    Service => ServiceName,
    Workspace => WorkspaceName,
    ExpectedTarget => TargetName,
    Operator => OperatorName,
);

impl Keyed for Link {
    type Key = (PlaceName, PlaceName);

    fn key(&self) -> Self::Key {
        (self.from.clone(), self.to.clone())
    }
}

/// The difference of one section of the inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionDiff<T, K> {
    /// Keys of objects that were removed.
    pub removed: Vec<K>,
    /// Objects that were added or changed, complete with all their fields.
    pub put: Vec<T>,
}

impl<T: Keyed> SectionDiff<T, T::Key> {
    fn between(old: &[T], new: &[T]) -> Self {
        let old: BTreeMap<_, _> = old.iter().map(|object| (object.key(), object)).collect();
        let new: BTreeMap<_, _> = new.iter().map(|object| (object.key(), object)).collect();
        let removed = old.keys().filter(|key| !new.contains_key(*key));
        let put = new
            .iter()
            .filter(|(key, object)| old.get(*key) != Some(*object));
        Self {
            removed: removed.cloned().collect(),
            put: put.map(|(_, object)| (*object).clone()).collect(),
        }
    }

    /// Returns the section after the change, sorted by key.
    fn apply_to(&self, old: &[T]) -> Vec<T> {
        let objects = old.iter().map(|object| (object.key(), object.clone()));
        let mut objects: BTreeMap<_, _> = objects.collect();
        for key in &self.removed {
            objects.remove(key);
        }
        for object in &self.put {
            objects.insert(object.key(), object.clone());
        }
        objects.into_values().collect()
    }
}

impl<T, K> SectionDiff<T, K> {
    /// Whether the section is unchanged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.put.is_empty()
    }
}

/// The difference between two revisions, with the digest of the configuration that it leads to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDiff {
    /// Revision that the difference starts at.
    pub base: Revision,
    /// Revision that the difference leads to.
    pub revision: Revision,
    /// Digest of the configuration that the difference leads to.
    pub digest: Digest,
    /// Changed availability zones.
    pub places: SectionDiff<Place, PlaceName>,
    /// Changed machines.
    pub vms: SectionDiff<Vm, VmName>,
    /// Changed links between places.
    pub links: SectionDiff<Link, (PlaceName, PlaceName)>,
    /// Changed models.
    pub models: SectionDiff<Model, ModelName>,
    /// Changed services.
    pub services: SectionDiff<Service, ServiceName>,
    /// Changed workspaces.
    pub workspaces: SectionDiff<Workspace, WorkspaceName>,
    /// Changed expected targets.
    pub targets: SectionDiff<ExpectedTarget, TargetName>,
    /// Changed operators.
    pub operators: SectionDiff<Operator, OperatorName>,
    /// The new rules, if they changed.
    pub rules: Option<Rules>,
}

impl ConfigDiff {
    /// Computes the difference that leads from `old` to `new`.
    #[must_use]
    pub fn between(base: Revision, old: &Inventory, revision: Revision, new: &Inventory) -> Self {
        Self {
            base,
            revision,
            digest: Digest::of_inventory(new),
            places: SectionDiff::between(&old.places, &new.places),
            vms: SectionDiff::between(&old.vms, &new.vms),
            links: SectionDiff::between(&old.links, &new.links),
            models: SectionDiff::between(&old.models, &new.models),
            services: SectionDiff::between(&old.services, &new.services),
            workspaces: SectionDiff::between(&old.workspaces, &new.workspaces),
            targets: SectionDiff::between(&old.targets, &new.targets),
            operators: SectionDiff::between(&old.operators, &new.operators),
            rules: (old.rules != new.rules).then_some(new.rules),
        }
    }

    /// Applies the difference to `old`; returns the configuration that it leads to.
    ///
    /// # Errors
    /// When the digest of the result isn't the one that the difference states.
    pub fn apply_to(&self, old: &Inventory) -> Result<Inventory, StateError> {
        let new = Inventory {
            places: self.places.apply_to(&old.places),
            vms: self.vms.apply_to(&old.vms),
            links: self.links.apply_to(&old.links),
            models: self.models.apply_to(&old.models),
            services: self.services.apply_to(&old.services),
            workspaces: self.workspaces.apply_to(&old.workspaces),
            targets: self.targets.apply_to(&old.targets),
            operators: self.operators.apply_to(&old.operators),
            rules: self.rules.unwrap_or(old.rules),
        };
        if Digest::of_inventory(&new) == self.digest {
            Ok(new)
        } else {
            Err(StateError::WrongDigest)
        }
    }
}
