//! Numbers that only grow and tell newer from older.

use serde::{Deserialize, Serialize};

macro_rules! growing_number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, derive_more::Display, derive_more::From, derive_more::FromStr,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The following number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

growing_number!(
    /// Revision of the accepted configuration; zero means that none was accepted yet.
    Revision
);
growing_number!(
    /// Fencing number of an order to an engine.
    FenceNumber
);
growing_number!(
    /// Grows at each start of a target or node, so that a restart differs from a delay.
    Incarnation
);
growing_number!(
    /// Version of the routing document; the highest one is in force, zero stands for none.
    RoutingVersion
);
