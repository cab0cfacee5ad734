//! Errors of the data folder.

use std::io;
use std::path::PathBuf;

/// Name of the operation that makes written data durable.
pub(super) const SYNCING: &str = "syncing";

/// Why the data folder can't be used. After an error of [`crate::Storage::write`] the process must
/// exit, as what reached the disk is unknown until it is read back after a restart. The exception is
/// a full disk; see [`Self::is_disk_full`].
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum StorageError {
    /// {action} {path:?} failed: {source}; help: check the disk, then restart the process
    Io {
        /// Operation that failed, such as "syncing".
        action: &'static str,
        /// File or folder of the operation.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// the lock file {path:?} is held by another process; help: stop that process first
    InUse {
        /// Lock file.
        path: PathBuf,
    },
    /// {path:?} names the replica {found}, expected {wanted}; help: use the data folder of this VM
    WrongName {
        /// Identity file.
        path: PathBuf,
        /// Replica name in the file.
        found: String,
        /// Replica name from the settings.
        wanted: String,
    },
    /// the data folder is closed for writes after damage or an error; help: end the process
    Closed,
    /// the data folder already holds a log; help: found a cluster only in an empty data folder
    NotEmpty,
    /// a record of {size_bytes} bytes exceeds the size limit; help: propose smaller commands
    TooLarge {
        /// Size of the encoded record.
        size_bytes: usize,
    },
    /// a record can't be encoded: {source}; help: report this as a defect
    Encode {
        /// Error of the encoder.
        source: postcard::Error,
    },
}

impl StorageError {
    /// Whether the disk had no space for the operation. Nothing was synced then, so a write may be
    /// tried again as it is.
    #[must_use]
    pub fn is_disk_full(&self) -> bool {
        let Self::Io { action, source, .. } = self else {
            return false;
        };
        let has_no_space = matches!(
            source.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
        );
        // After a failed sync it is unknown which of the written pages are on disk.
        has_no_space && *action != SYNCING
    }
}
