//! Identities and counters. Each is a type of its own, so that the compiler rejects a mix-up.

use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// The value before the first one.
            pub const ZERO: Self = Self(0);

            /// The next value.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// The previous value, or zero.
            #[must_use]
            pub const fn previous(self) -> Self {
                Self(self.0.saturating_sub(1))
            }
        }
    };
}

counter!(
    /// Election term. At most one replica leads a term, so it serves as the fencing number.
    Term
);
counter!(
    /// Index of a log entry. The first entry has index 1.
    Index
);
counter!(
    /// Number of a heartbeat round of one leader in one term.
    Round
);
counter!(
    /// Number of a disk write. A replica numbers its writes in the order in which it requests them.
    WriteId
);
counter!(
    /// Token chosen by the shell, by which it matches a read in [`crate::Output::ready_reads`] to
    /// its request.
    ReadToken
);

/// Full identity of a replica: the name of its VM and the disk that holds its log.
///
/// A replica that lost its disk gets a new `disk` number. The old identity never votes again.
#[derive(
    Debug, Display, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{name}#{disk:016x}")]
pub struct ReplicaId {
    /// Name of the VM, as in the inventory.
    pub name: String,
    /// Random number, drawn once when the data folder was created.
    pub disk: u64,
}

impl ReplicaId {
    /// Identity of the replica on the VM `name` whose data folder has the number `disk`.
    #[must_use]
    pub fn new(name: impl Into<String>, disk: u64) -> Self {
        Self {
            name: name.into(),
            disk,
        }
    }
}
