//! Errors of the data folder.

use std::io;
use std::path::PathBuf;

/// Why the data folder can't be used. After an error of [`crate::Storage::write`] the process must
/// exit: what reached the disk is unknown until it is read back after a restart.
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
