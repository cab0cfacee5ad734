//! Monotonically increasing numbers that tell newer from older: revisions, fencing numbers,
//! versions.

use serde::{Deserialize, Serialize};

macro_rules! monotonic_number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, derive_more::Display, derive_more::From, derive_more::FromStr,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

monotonic_number!(
    /// Revision of the accepted configuration; zero means that none was accepted yet.
    Revision
);
monotonic_number!(
    /// Fencing number of an order to an engine, by which it recognizes outdated orders.
    FenceNumber
);
monotonic_number!(
    /// Increases at each start of a target or node, which distinguishes a restart from a delay.
    Incarnation
);
monotonic_number!(
    /// Version of the routing document; the highest one is in effect, zero stands for none.
    RoutingVersion
);
