//! Names given by operators, each with a type of its own so that they can't be mixed up.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            derive_more::Display,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self::from("")
            }
        }
    };
}

name_type!(
    /// A machine in the operator's inventory.
    VmName
);
name_type!(
    /// An availability zone.
    PlaceName
);
name_type!(
    /// A region: a group of places.
    RegionName
);
name_type!(
    /// A service that callers address: a model pool or a plain service.
    ServiceName
);
name_type!(
    /// A customer's workspace.
    WorkspaceName
);
name_type!(
    /// A back end: one engine process or one instance of a plain service.
    TargetName
);
name_type!(
    /// A process of the system that callers speak to.
    EntryName
);
name_type!(
    /// Any process of the system, entry or control.
    NodeName
);
name_type!(
    /// A model.
    ModelName
);
name_type!(
    /// A version of a model's weights.
    ModelVersion
);
name_type!(
    /// An adapter loaded beside a model.
    AdapterName
);
name_type!(
    /// A kind of accelerator.
    AcceleratorKind
);
name_type!(
    /// An operator, as recorded in the audit trail.
    OperatorName
);
name_type!(
    /// An idempotency key chosen by a caller.
    KeyName
);
