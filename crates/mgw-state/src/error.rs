//! [`StateError`], the error type of this crate.

use mgw_world::Revision;

/// Why bytes couldn't be decoded or a configuration update couldn't be applied.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum StateError {
    /// the bytes are damaged or of another version; fetch them from another replica
    Damaged,
    /// {count} bytes follow the value; the bytes are of another version
    TrailingBytes {
        /// Number of bytes after the value.
        count: usize,
    },
    /// the update leads to revision {offered}, older than {held}; ask a newer control
    Older {
        /// Revision that the receiver holds or has seen.
        held: Revision,
        /// Revision that the update leads to.
        offered: Revision,
    },
    /// the difference starts at revision {base}, not at {held}; ask for the full configuration
    WrongBase {
        /// Revision that the receiver holds.
        held: Revision,
        /// Revision that the difference starts at.
        base: Revision,
    },
    /// the result of the difference has another digest; ask for the full configuration
    WrongDigest,
}
