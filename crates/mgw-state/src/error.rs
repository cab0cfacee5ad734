//! Errors of this crate.

use mgw_world::Revision;

/// Why bytes or an update were not taken.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum StateError {
    /// the bytes are damaged or of another version; fetch them from another replica
    Damaged,
    /// {count} bytes follow the value; the bytes are of another version
    TrailingBytes {
        /// Number of bytes left over.
        count: usize,
    },
    /// the update leads to revision {offered}, older than {held}; ask a newer control
    Older {
        /// Revision held.
        held: Revision,
        /// Revision offered.
        offered: Revision,
    },
    /// the difference starts at revision {base}, not at {held}; ask for the full configuration
    WrongBase {
        /// Revision held.
        held: Revision,
        /// Revision that the difference starts from.
        base: Revision,
    },
    /// the result of the difference has another digest; ask for the full configuration
    WrongDigest,
}
