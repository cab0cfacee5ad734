//! Files of one data folder: identity, log and snapshot.

mod error;
mod files;
mod folder;
mod frame;
mod recover;

pub use error::StorageError;
pub use files::{SyncHook, SyncPoint};
pub use folder::Storage;
