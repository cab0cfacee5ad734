//! The configuration in force at this entry.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use mgw_state::{ConfigUpdate, ConfigView, Digest, Inventory, StateError};
use mgw_world::{Model, ModelName, Revision, Workspace, WorkspaceName};
use parking_lot::Mutex;
use tracing::warn;

/// File in the data folder that holds the highest revision seen.
const REVISION_FILE: &str = "revision";

/// Holds the configuration in force. Its revision never decreases, with a data folder also not over
/// a restart.
#[derive(Debug)]
pub struct ConfigHolder {
    view: Mutex<ConfigView>,
    data: Option<PathBuf>,
}

/// A snapshot of the configuration in force.
#[derive(Debug, Clone)]
pub struct ConfigInForce {
    /// The inventory, with the rules in it.
    pub inventory: Arc<Inventory>,
    /// Revision of the inventory.
    pub revision: Revision,
}

impl ConfigInForce {
    /// Finds a workspace by its name.
    #[must_use]
    pub fn find_workspace(&self, name: &WorkspaceName) -> Option<Workspace> {
        self.inventory
            .workspaces
            .iter()
            .find(|workspace| workspace.name == *name)
            .cloned()
    }

    /// Finds a model by its name.
    #[must_use]
    pub fn find_model(&self, name: &ModelName) -> Option<Model> {
        self.inventory.model(name).cloned()
    }
}

impl ConfigHolder {
    /// Creates a holder without a configuration; reads the highest revision seen before a restart
    /// from the data folder, if there is one.
    #[must_use]
    pub fn new(data: Option<PathBuf>) -> Self {
        let highest_seen = data.as_deref().map_or(Revision(0), read_revision);
        Self {
            view: Mutex::new(ConfigView::new(highest_seen)),
            data,
        }
    }

    /// Returns a snapshot of the configuration in force.
    #[must_use]
    pub fn load(&self) -> ConfigInForce {
        let view = self.view.lock();
        ConfigInForce {
            inventory: Arc::clone(view.inventory()),
            revision: view.held_revision(),
        }
    }

    /// Whether the configuration is as new as any that this entry has seen.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.view.lock().is_ready()
    }

    /// Digest of the configuration held; `None` before the first one.
    #[must_use]
    pub fn digest(&self) -> Option<Digest> {
        let config = self.load();
        (config.revision > Revision(0)).then(|| Digest::of_inventory(&config.inventory))
    }

    /// Applies an update; returns whether the configuration changed.
    ///
    /// # Errors
    /// When the update is older than the highest revision seen, or is based on another revision
    /// than the one held.
    pub fn apply(&self, update: ConfigUpdate) -> Result<bool, StateError> {
        let mut updated = self.view.lock().clone();
        let changed = updated.apply(update)?;
        // Written before the update is in force, so that after a restart the entry never serves an
        // older revision than before.
        if let Some(data) = self.data.as_deref().filter(|_| changed)
            && let Err(error) = write_revision(data, updated.highest_seen())
        {
            warn!(%error, "can't write the revision; a restart may accept an older one");
        }
        *self.view.lock() = updated;
        Ok(changed)
    }
}

fn read_revision(data: &Path) -> Revision {
    let text = std::fs::read_to_string(data.join(REVISION_FILE));
    text.ok()
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or_default()
}

fn write_revision(data: &Path, revision: Revision) -> std::io::Result<()> {
    std::fs::create_dir_all(data)?;
    let new_file = data.join("revision.new");
    let mut file = std::fs::File::create(&new_file)?;
    writeln!(file, "{revision}")?;
    file.sync_all()?;
    std::fs::rename(&new_file, data.join(REVISION_FILE))?;
    std::fs::File::open(data)?.sync_all()
}
