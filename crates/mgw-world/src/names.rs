//! Names of objects, with a separate type for each kind, so that the compiler keeps them apart.

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
            /// The name as a string slice.
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
    /// Name of a machine in the operator's inventory.
    VmName
);
name_type!(
    /// Name of an availability zone.
    PlaceName
);
name_type!(
    /// Name of a region, which is a group of availability zones.
    RegionName
);
name_type!(
    /// Name of a service that callers address: a model or a plain service.
    ServiceName
);
name_type!(
    /// Name of a customer's workspace.
    WorkspaceName
);
name_type!(
    /// Name of a back end: one engine process or one instance of a plain service.
    TargetName
);
name_type!(
    /// Name of an entry, a process that accepts the callers' requests.
    EntryName
);
name_type!(
    /// Name of a process of the system, entry or control.
    NodeName
);
name_type!(
    /// Name of a model.
    ModelName
);
name_type!(
    /// Version of a model's weights.
    ModelVersion
);
name_type!(
    /// Name of an adapter that is loaded in addition to a model.
    AdapterName
);
name_type!(
    /// Name of a kind of accelerator.
    AcceleratorKind
);
name_type!(
    /// Name of an operator, as recorded in the audit trail.
    OperatorName
);
name_type!(
    /// Idempotency key chosen by a caller.
    KeyName
);
