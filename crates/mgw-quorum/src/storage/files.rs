//! File operations, each with the syncs that make it durable.

use super::StorageError;
use super::error::SYNCING;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A point at which a test can let a file operation fail or stop the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FilePoint {
    /// File in the data folder, or `.` for the folder itself.
    pub file: &'static str,
    /// Position of the point in the operation.
    pub step: FileStep,
}

/// Position of a [`FilePoint`] in a file operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileStep {
    /// Before a write. If the hook fails it, half of the bytes are written.
    BeforeWrite,
    /// Before a sync.
    BeforeSync,
    /// After a sync.
    AfterSync,
}

/// Callback for each [`FilePoint`]. If it returns an error, the operation counts as failed.
pub type FileHook = Box<dyn FnMut(FilePoint) -> io::Result<()> + Send>;

/// Reads and writes the files of one folder and counts the syncs.
pub(super) struct Files {
    folder: PathBuf,
    hook: FileHook,
    sync_count: u64,
}

const FOLDER: &str = ".";
const NEW_SUFFIX: &str = ".new";

impl Files {
    pub(super) const fn new(folder: PathBuf, hook: FileHook) -> Self {
        Self {
            folder,
            hook,
            sync_count: 0,
        }
    }

    pub(super) const fn sync_count(&self) -> u64 {
        self.sync_count
    }

    pub(super) fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Creates the folder if it is missing and syncs its parent.
    pub(super) fn create_folder(&mut self) -> Result<(), StorageError> {
        if self.folder.is_dir() {
            return Ok(());
        }
        let folder = self.folder.clone();
        fs::create_dir_all(&folder).map_err(|source| io_error("creating", &folder, source))?;
        let parent = match folder.parent() {
            Some(parent) if !parent.as_os_str().is_empty() => parent,
            _ => Path::new(FOLDER),
        };
        let opened = File::open(parent).map_err(|source| io_error("opening", parent, source))?;
        self.sync(&opened, FOLDER, parent)
    }

    /// Reads a whole file. None if it doesn't exist.
    pub(super) fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        let path = self.path(name);
        match fs::read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(source) => Err(io_error("reading", &path, source)),
        }
    }

    /// Replaces a file atomically: after a crash it has either the old or the new content.
    pub(super) fn replace(&mut self, name: &'static str, bytes: &[u8]) -> Result<(), StorageError> {
        let new_path = self.path(&format!("{name}{NEW_SUFFIX}"));
        let path = self.path(name);
        let mut file =
            File::create(&new_path).map_err(|source| io_error("creating", &new_path, source))?;
        self.write(&mut file, name, &new_path, bytes)?;
        self.sync(&file, name, &new_path)?;
        fs::rename(&new_path, &path).map_err(|source| io_error("renaming", &new_path, source))?;
        let folder = self.folder.clone();
        let opened = File::open(&folder).map_err(|source| io_error("opening", &folder, source))?;
        self.sync(&opened, FOLDER, &folder)
    }

    pub(super) fn open_append(&self, name: &str) -> Result<File, StorageError> {
        let path = self.path(name);
        OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(|source| io_error("opening", &path, source))
    }

    /// Appends to a file and syncs it.
    pub(super) fn append(
        &mut self,
        file: &mut File,
        name: &'static str,
        bytes: &[u8],
    ) -> Result<(), StorageError> {
        let path = self.path(name);
        self.write(file, name, &path, bytes)?;
        self.sync(file, name, &path)
    }

    /// Removes what a failed append may have left behind `size_bytes`. It isn't synced: a restart
    /// removes such a tail as well.
    pub(super) fn remove_tail(
        &self,
        file: &File,
        name: &'static str,
        size_bytes: u64,
    ) -> Result<(), StorageError> {
        let path = self.path(name);
        file.set_len(size_bytes)
            .map_err(|source| io_error("truncating", &path, source))
    }

    /// Truncates a file to `size_bytes` and syncs it.
    pub(super) fn truncate(
        &mut self,
        file: &File,
        name: &'static str,
        size_bytes: u64,
    ) -> Result<(), StorageError> {
        let path = self.path(name);
        file.set_len(size_bytes)
            .map_err(|source| io_error("truncating", &path, source))?;
        self.sync(file, name, &path)
    }

    fn write(
        &mut self,
        file: &mut File,
        name: &'static str,
        path: &Path,
        bytes: &[u8],
    ) -> Result<(), StorageError> {
        let write_error = |source| io_error("writing", path, source);
        let point = FilePoint {
            file: name,
            step: FileStep::BeforeWrite,
        };
        if let Err(source) = (self.hook)(point) {
            // As on a disk that runs full in the middle of a write.
            file.write_all(&bytes[..bytes.len() / 2])
                .map_err(write_error)?;
            return Err(write_error(source));
        }
        file.write_all(bytes).map_err(write_error)
    }

    /// Syncs a file or folder between the two calls of the hook.
    fn sync(&mut self, file: &File, name: &'static str, path: &Path) -> Result<(), StorageError> {
        let sync_error = |source| io_error(SYNCING, path, source);
        let before = FilePoint {
            file: name,
            step: FileStep::BeforeSync,
        };
        let after = FilePoint {
            step: FileStep::AfterSync,
            ..before
        };
        (self.hook)(before).map_err(sync_error)?;
        file.sync_all().map_err(sync_error)?;
        self.sync_count += 1;
        (self.hook)(after).map_err(sync_error)
    }
}

pub(super) fn io_error(action: &'static str, path: &Path, source: io::Error) -> StorageError {
    StorageError::Io {
        action,
        path: path.to_owned(),
        source,
    }
}
