//! Opens the data folder of a control, also when its disk is full or its log is damaged.

use std::fs::{File, create_dir_all, read_dir, rename};
use std::io;
use std::path::{Path, PathBuf};

use mgw_quorum::{RecoveredState, Storage, StorageError};
use mgw_world::Millis;
use tokio::time::sleep;
use tracing::{error, warn};

use crate::run::Founding;
use crate::settings::ControlSettings;

/// Disk ID of the controls that found a group together. It is fixed so that each of them knows the
/// replica identities of the others; all other disks get a random ID.
pub const FOUNDING_DISK_ID: u64 = 0;
/// Pause before a folder on a full disk is opened again.
const FULL_DISK_PAUSE_MS: Millis = Millis(500);
/// Name of the folder in the data folder that keeps the files of a damaged one.
const DAMAGED: &str = "damaged";

/// Opens the data folder, and waits for as long as its disk is full.
///
/// In an open group a damaged folder is set aside, and the control joins under a new identity: the
/// quorum of the others has everything that was acknowledged, and the damaged log never votes. In a
/// group with a fixed list of members the damage is left to the operator.
///
/// # Errors
/// When the folder can't be opened or set aside.
pub async fn open_data_folder(
    settings: &ControlSettings,
    founding: &Founding,
) -> Result<(Storage, RecoveredState), StorageError> {
    let disk = match founding {
        Founding::With(names) if names.iter().any(|name| name == settings.name.as_str()) => {
            FOUNDING_DISK_ID
        }
        _ => draw_disk_id(),
    };
    let (storage, recovered) = open_with_space(settings, disk).await?;
    let Some(damage) = &recovered.damage else {
        return Ok((storage, recovered));
    };
    if !settings.open_group {
        error!(%damage, "the data folder is damaged; this control won't vote");
        return Ok((storage, recovered));
    }
    // Releases the lock on the folder.
    drop(storage);
    let kept_at = set_aside(&settings.data)?;
    error!(
        %damage,
        kept_at = %kept_at.display(),
        "the data folder is damaged; joining the group under a new identity"
    );
    open_with_space(settings, draw_disk_id()).await
}

fn draw_disk_id() -> u64 {
    rand::random::<u64>().max(FOUNDING_DISK_ID + 1)
}

async fn open_with_space(
    settings: &ControlSettings,
    disk: u64,
) -> Result<(Storage, RecoveredState), StorageError> {
    loop {
        let hook = Box::new(|_| Ok(()));
        match Storage::open(&settings.data, settings.name.as_str(), disk, hook) {
            Err(failure) if failure.is_disk_full() => {
                warn!(%failure, "the disk is full; waiting for space before the start");
                sleep(FULL_DISK_PAUSE_MS.to_duration()).await;
            }
            opened => return opened,
        }
    }
}

/// Moves the files of a damaged data folder to a folder inside it, in place of those that were moved
/// there earlier, and returns where.
fn set_aside(folder: &Path) -> Result<PathBuf, StorageError> {
    let kept_at = folder.join(DAMAGED);
    create_dir_all(&kept_at).map_err(|source| io_error("creating", &kept_at, source))?;
    let listed = read_dir(folder).map_err(|source| io_error("listing", folder, source))?;
    for file in listed {
        let file = file.map_err(|source| io_error("listing", folder, source))?;
        let path = file.path();
        if path.is_file() {
            rename(&path, kept_at.join(file.file_name()))
                .map_err(|source| io_error("renaming", &path, source))?;
        }
    }
    for changed in [kept_at.as_path(), folder] {
        let synced = File::open(changed).and_then(|opened| opened.sync_all());
        synced.map_err(|source| io_error("syncing", changed, source))?;
    }
    Ok(kept_at)
}

fn io_error(action: &'static str, path: &Path, source: io::Error) -> StorageError {
    StorageError::Io {
        action,
        path: path.to_owned(),
        source,
    }
}
