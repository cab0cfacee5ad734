//! Failures of the data folder.

use std::io;
use std::path::PathBuf;

/// Why the data folder can't be used. After an error of [`crate::Storage::write`] the process must
/// end: what reached the disk is unknown until it is read back.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum StorageError {
    /// {action} {path:?} failed: {source}; help: check the disk, then start the process again
    Io {
        /// What was attempted.
        action: &'static str,
        /// File or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// {path:?} is in use by another process; help: stop that process first
    InUse {
        /// Lock file.
        path: PathBuf,
    },
    /// {path:?} belongs to {found}, not to {wanted}; help: use the data folder of this VM
    WrongName {
        /// Identity file.
        path: PathBuf,
        /// Name in the file.
        found: String,
        /// Name from the settings.
        wanted: String,
    },
    /// the data folder takes no writes; help: end the process
    Closed,
    /// the data folder holds a log already; help: found a cluster only in an empty data folder
    NotEmpty,
    /// a record of {size_bytes} bytes is too large; help: propose smaller commands
    TooLarge {
        /// Size of the record.
        size_bytes: usize,
    },
    /// a record can't be encoded: {source}; help: report this as a defect
    Encode {
        /// What the encoder said.
        source: postcard::Error,
    },
}
