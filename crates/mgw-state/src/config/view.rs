//! [`ConfigView`], the configuration as an entry holds it, and the updates that it receives.

use std::sync::Arc;

use mgw_world::Revision;
use serde::{Deserialize, Serialize};

use super::{ConfigDiff, Digest};
use crate::{Inventory, StateError};

/// The reply of a control to an entry that asks for updates and names the revision it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The entry already holds the newest revision.
    Current {
        /// The newest revision.
        revision: Revision,
    },
    /// Consecutive differences from the entry's revision to the newest.
    Diffs(Vec<ConfigDiff>),
    /// The whole configuration.
    Full {
        /// Its revision.
        revision: Revision,
        /// Its digest.
        digest: Digest,
        /// The configuration.
        inventory: Arc<Inventory>,
    },
}

/// The configuration in force at an entry and its revision, which never decreases.
///
/// The caller stores the highest revision seen, [`ConfigView::highest_seen`], on disk if it has
/// one, and passes it to [`ConfigView::new`] after a restart: the entry then serves nothing until
/// it holds that revision or a newer one.
///
/// ```
/// use mgw_state::ConfigView;
/// use mgw_world::Revision;
/// let view = ConfigView::new(Revision(7));
/// assert!(!view.is_ready());
/// assert_eq!(view.held_revision(), Revision(0));
/// ```
#[derive(Debug, Clone)]
pub struct ConfigView {
    highest_seen: Revision,
    held_revision: Revision,
    inventory: Arc<Inventory>,
}

impl ConfigView {
    /// Creates a view without a configuration that refuses revisions below `highest_seen`.
    #[must_use]
    pub fn new(highest_seen: Revision) -> Self {
        Self {
            highest_seen,
            held_revision: Revision(0),
            inventory: Arc::default(),
        }
    }

    /// Revision of the configuration held, which a request for an update names; zero when none is
    /// held.
    #[must_use]
    pub const fn held_revision(&self) -> Revision {
        self.held_revision
    }

    /// Highest revision seen, whether its configuration is held or not.
    #[must_use]
    pub const fn highest_seen(&self) -> Revision {
        self.highest_seen
    }

    /// Whether the entry may serve: it holds a configuration, and none newer has been seen.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.held_revision > Revision(0) && self.held_revision >= self.highest_seen
    }

    /// The configuration in force.
    #[must_use]
    pub const fn inventory(&self) -> &Arc<Inventory> {
        &self.inventory
    }

    /// Records that another process reported a revision as accepted; the view isn't ready until it
    /// holds that revision or a newer one.
    pub fn record_accepted(&mut self, revision: Revision) {
        self.highest_seen = self.highest_seen.max(revision);
    }

    /// Applies an update; returns whether the held revision changed.
    ///
    /// # Errors
    /// When the update leads to an older revision than the highest seen, starts at another revision
    /// than the held one, or its result has another digest than stated. The view is then unchanged.
    pub fn apply(&mut self, update: ConfigUpdate) -> Result<bool, StateError> {
        match update {
            ConfigUpdate::Current { revision } => self.check_current(revision),
            ConfigUpdate::Diffs(diffs) => self.apply_diffs(&diffs),
            ConfigUpdate::Full {
                revision,
                digest,
                inventory,
            } => self.apply_full(revision, digest, inventory),
        }
    }

    fn check_current(&self, revision: Revision) -> Result<bool, StateError> {
        self.check_not_older(revision)?;
        if revision == self.held_revision {
            Ok(false)
        } else {
            Err(StateError::WrongBase {
                held: self.held_revision,
                base: revision,
            })
        }
    }

    fn apply_diffs(&mut self, diffs: &[ConfigDiff]) -> Result<bool, StateError> {
        let Some(last) = diffs.last() else {
            return Ok(false);
        };
        self.check_not_older(last.revision)?;
        let mut revision = self.held_revision;
        let mut inventory = Arc::clone(&self.inventory);
        for diff in diffs
            .iter()
            .filter(|diff| diff.revision > self.held_revision)
        {
            if diff.base != revision {
                return Err(StateError::WrongBase {
                    held: revision,
                    base: diff.base,
                });
            }
            inventory = Arc::new(diff.apply_to(&inventory)?);
            revision = diff.revision;
        }
        Ok(self.install(revision, inventory))
    }

    fn apply_full(
        &mut self,
        revision: Revision,
        digest: Digest,
        inventory: Arc<Inventory>,
    ) -> Result<bool, StateError> {
        self.check_not_older(revision)?;
        if Digest::of_inventory(&inventory) != digest {
            return Err(StateError::WrongDigest);
        }
        Ok(self.install(revision, inventory))
    }

    fn check_not_older(&self, offered: Revision) -> Result<(), StateError> {
        let held = self.highest_seen.max(self.held_revision);
        if offered < held {
            return Err(StateError::Older { held, offered });
        }
        Ok(())
    }

    fn install(&mut self, revision: Revision, inventory: Arc<Inventory>) -> bool {
        let has_changed = revision != self.held_revision;
        self.held_revision = revision;
        self.highest_seen = self.highest_seen.max(revision);
        self.inventory = inventory;
        has_changed
    }
}
