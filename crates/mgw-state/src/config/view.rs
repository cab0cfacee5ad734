//! The configuration as an entry holds it.

use std::sync::Arc;

use mgw_world::Revision;
use serde::{Deserialize, Serialize};

use super::{ConfigDiff, Digest};
use crate::{Inventory, StateError};

/// What a control sends to an entry that names the revision it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The entry holds the newest revision.
    Current {
        /// That revision.
        revision: Revision,
    },
    /// Differences that lead from the entry's revision to the newest.
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

/// Revision and configuration in force at an entry; never goes back.
///
/// The caller keeps the highest revision seen, [`ConfigView::highest_seen`], on disk where there is
/// one, and gives it as the floor after a restart: the entry then serves nothing before it holds
/// that revision or a newer one.
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
    /// A view that holds nothing yet and refuses revisions below the floor.
    #[must_use]
    pub fn new(highest_seen: Revision) -> Self {
        Self {
            highest_seen,
            held_revision: Revision(0),
            inventory: Arc::default(),
        }
    }

    /// Revision of the configuration held, to be named when asking for an update; zero for none.
    #[must_use]
    pub const fn held_revision(&self) -> Revision {
        self.held_revision
    }

    /// Highest revision seen, held or not.
    #[must_use]
    pub const fn highest_seen(&self) -> Revision {
        self.highest_seen
    }

    /// Whether the entry may serve: it holds a configuration as new as any that it has seen.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.held_revision > Revision(0) && self.held_revision >= self.highest_seen
    }

    /// The configuration in force.
    #[must_use]
    pub const fn inventory(&self) -> &Arc<Inventory> {
        &self.inventory
    }

    /// Raises the floor to a revision that another process reports as accepted.
    pub fn record_accepted(&mut self, revision: Revision) {
        self.highest_seen = self.highest_seen.max(revision);
    }

    /// Takes an update; tells whether the revision held has changed.
    ///
    /// # Errors
    /// When the update is older than what was seen, doesn't fit the revision held, or has a wrong
    /// digest. Nothing changes then.
    pub fn apply(&mut self, update: ConfigUpdate) -> Result<bool, StateError> {
        match update {
            ConfigUpdate::Current { revision } => self.confirm(revision),
            ConfigUpdate::Diffs(diffs) => self.take_diffs(&diffs),
            ConfigUpdate::Full {
                revision,
                digest,
                inventory,
            } => self.take_full(revision, digest, inventory),
        }
    }

    fn confirm(&self, revision: Revision) -> Result<bool, StateError> {
        self.refuse_older(revision)?;
        if revision == self.held_revision {
            Ok(false)
        } else {
            Err(StateError::WrongBase {
                held: self.held_revision,
                base: revision,
            })
        }
    }

    fn take_diffs(&mut self, diffs: &[ConfigDiff]) -> Result<bool, StateError> {
        let Some(last) = diffs.last() else {
            return Ok(false);
        };
        self.refuse_older(last.revision)?;
        let mut held = self.held_revision;
        let mut inventory = Arc::clone(&self.inventory);
        for diff in diffs
            .iter()
            .filter(|diff| diff.revision > self.held_revision)
        {
            if diff.base != held {
                return Err(StateError::WrongBase {
                    held,
                    base: diff.base,
                });
            }
            inventory = Arc::new(diff.apply_to(&inventory)?);
            held = diff.revision;
        }
        Ok(self.put(held, inventory))
    }

    fn take_full(
        &mut self,
        revision: Revision,
        digest: Digest,
        inventory: Arc<Inventory>,
    ) -> Result<bool, StateError> {
        self.refuse_older(revision)?;
        if Digest::of_inventory(&inventory) != digest {
            return Err(StateError::WrongDigest);
        }
        Ok(self.put(revision, inventory))
    }

    fn refuse_older(&self, offered: Revision) -> Result<(), StateError> {
        let held = self.highest_seen.max(self.held_revision);
        if offered < held {
            return Err(StateError::Older { held, offered });
        }
        Ok(())
    }

    fn put(&mut self, revision: Revision, inventory: Arc<Inventory>) -> bool {
        let has_changed = revision != self.held_revision;
        self.held_revision = revision;
        self.highest_seen = self.highest_seen.max(revision);
        self.inventory = inventory;
        has_changed
    }
}
