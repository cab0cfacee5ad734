//! The targets that said that they are leaving.

use std::collections::BTreeMap;

use mgw_world::{Incarnation, Millis, TargetName, UnixMillis};
use serde::{Deserialize, Serialize};

/// Most targets that are remembered; beyond it the one that left first is forgotten.
const MAX_TARGETS: usize = 1_000;
/// Time after which a target is forgotten: no message of it can still be on its way.
const REMEMBERED_MS: Millis = Millis(60 * 60 * 1_000);

/// The targets that said that they are leaving, each with the newest incarnation that did. An announcement of
/// that incarnation that arrives later doesn't bring the target back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingTargets {
    revision: u64,
    targets: BTreeMap<TargetName, Leaving>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Leaving {
    incarnation: Incarnation,
    since: UnixMillis,
}

impl LeavingTargets {
    /// Number of changes so far.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The targets with their newest leaving incarnation.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, Incarnation)> {
        self.targets
            .iter()
            .map(|(name, leaving)| (name, leaving.incarnation))
    }

    /// The newest incarnation of a target that is leaving, if any.
    #[must_use]
    pub fn incarnation_of(&self, name: &TargetName) -> Option<Incarnation> {
        self.targets.get(name).map(|leaving| leaving.incarnation)
    }

    /// Adds a target. Returns whether that is new.
    pub(crate) fn add(
        &mut self,
        name: TargetName,
        incarnation: Incarnation,
        now: UnixMillis,
    ) -> bool {
        if self.incarnation_of(&name) >= Some(incarnation) {
            return false;
        }
        let leaving = Leaving {
            incarnation,
            since: now,
        };
        self.targets.insert(name, leaving);
        self.revision += 1;
        self.forget_old(now);
        true
    }

    fn forget_old(&mut self, now: UnixMillis) {
        self.targets
            .retain(|_, leaving| now.0.saturating_sub(leaving.since.0) <= REMEMBERED_MS.0);
        if self.targets.len() <= MAX_TARGETS {
            return;
        }
        let first = self.targets.iter().min_by_key(|(_, it)| it.since);
        if let Some(name) = first.map(|(name, _)| name.clone()) {
            self.targets.remove(&name);
        }
    }
}
