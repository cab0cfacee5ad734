//! The configuration in force at this entry.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use mgw_state::{ConfigUpdate, ConfigView, Digest, Inventory, StateError};
use mgw_world::{Model, ModelName, Revision, Workspace, WorkspaceName};
use parking_lot::Mutex;
use tracing::warn;

/// File that holds the highest revision seen.
const REVISION_FILE: &str = "revision";

/// Holds the configuration in force; it never goes back, not even over a restart where there is a
/// data folder.
#[derive(Debug)]
pub struct ConfigHolder {
    view: Mutex<ConfigView>,
    data: Option<PathBuf>,
}

/// What an entry looks up in the configuration.
#[derive(Debug, Clone)]
pub struct ConfigInForce {
    /// Inventory and rules.
    pub inventory: Arc<Inventory>,
    /// Their revision.
    pub revision: Revision,
}

impl ConfigInForce {
    /// The workspace of a name.
    #[must_use]
    pub fn find_workspace(&self, name: &WorkspaceName) -> Option<Workspace> {
        self.inventory
            .workspaces
            .iter()
            .find(|workspace| workspace.name == *name)
            .cloned()
    }

    /// The model of a name.
    #[must_use]
    pub fn find_model(&self, name: &ModelName) -> Option<Model> {
        self.inventory.model(name).cloned()
    }
}

impl ConfigHolder {
    /// Starts without a configuration, from the highest revision seen before a restart.
    #[must_use]
    pub fn new(data: Option<PathBuf>) -> Self {
        let floor = data.as_deref().map_or(Revision(0), read_revision);
        Self {
            view: Mutex::new(ConfigView::new(floor)),
            data,
        }
    }

    /// The configuration in force.
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

    /// Digest of the configuration held; none before the first.
    #[must_use]
    pub fn digest(&self) -> Option<Digest> {
        let config = self.load();
        (config.revision > Revision(0)).then(|| Digest::of_inventory(&config.inventory))
    }

    /// Takes an update in; returns whether the configuration changed.
    ///
    /// # Errors
    /// When the update is older than what was seen or doesn't fit on what is held.
    pub fn take(&self, update: ConfigUpdate) -> Result<bool, StateError> {
        let mut newer = self.view.lock().clone();
        let changed = newer.apply(update)?;
        // Written before it is in force: a restart then never serves less than was served.
        if let Some(data) = self.data.as_deref().filter(|_| changed)
            && let Err(error) = write_revision(data, newer.highest_seen())
        {
            warn!(%error, "couldn't write the revision; a restart may have to ask for it again");
        }
        *self.view.lock() = newer;
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
    let new = data.join("revision.new");
    let mut file = std::fs::File::create(&new)?;
    writeln!(file, "{revision}")?;
    file.sync_all()?;
    std::fs::rename(&new, data.join(REVISION_FILE))?;
    std::fs::File::open(data)?.sync_all()
}
