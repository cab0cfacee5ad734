//! Storage of one replica: the identity, log and snapshot files in its data folder.

mod error;
mod files;
mod folder;
mod frame;
mod recover;

pub use error::StorageError;
pub use files::{FileHook, FilePoint, FileStep};
pub use folder::Storage;
