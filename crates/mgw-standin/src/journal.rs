//! Journal of what a stand-in executed: one JSON line for each step, import, freed session, order
//! or call.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

use mgw_contract::engine::SessionKey;
use mgw_world::{
    FenceNumber, Incarnation, LayerRange, ModelVersion, Position, ServiceName, TargetName,
};
use serde::{Deserialize, Serialize};

/// A step that ran. It ran each of its layers once on each of its positions, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepLine {
    /// Session of the step.
    pub session: SessionKey,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Layers that ran.
    pub layers: LayerRange,
    /// First position that the step ran.
    pub first: Position,
    /// Number of positions.
    pub count: u32,
    /// Value that entered the first layer at the last position.
    pub value_in: u64,
    /// Value that left the last layer at the last position.
    pub value_out: u64,
}

/// What a stand-in executed: the action, and the values that it was executed with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum JournalEvent {
    /// A step was run on the layers of a target.
    Step(StepLine),
    /// A session was opened from a KV cache.
    Import {
        /// Session that was opened.
        session: SessionKey,
        /// Layers of the imported cache.
        layers: LayerRange,
        /// Next position that the session expects.
        next: Position,
    },
    /// A session was freed, on request or because it was idle.
    Free {
        /// Session that was freed.
        session: SessionKey,
    },
    /// An order was accepted.
    Order {
        /// Fencing number of the order.
        fence: FenceNumber,
        /// Sequence number of the order under its fencing number.
        sequence: u64,
        /// Layers to load.
        layers: LayerRange,
        /// Version to load.
        version: ModelVersion,
    },
    /// A call to a plain service ran.
    Call {
        /// Service that was called.
        service: ServiceName,
        /// Path that was called.
        path: String,
        /// Idempotency key, if the call had one.
        key: Option<String>,
        /// Workspace that the call came from, if it named one.
        workspace: Option<String>,
        /// Number of the call in this process, counted from one.
        count: u64,
    },
}

/// One line of a journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalLine {
    /// Target that executed the action.
    pub target: TargetName,
    /// Incarnation of the target at that time.
    pub incarnation: Incarnation,
    /// What the target executed.
    #[serde(flatten)]
    pub event: JournalEvent,
}

#[derive(Debug)]
enum Storage {
    File { file: File, path: PathBuf },
    Memory(Vec<u8>),
}

/// Append-only journal in a file or in memory.
#[derive(Debug)]
pub struct Journal {
    storage: Mutex<Storage>,
}

impl Journal {
    /// Creates a journal in memory.
    #[must_use]
    pub const fn in_memory() -> Self {
        Self {
            storage: Mutex::new(Storage::Memory(Vec::new())),
        }
    }

    /// Opens a journal file to append to; creates the file if it does not exist.
    ///
    /// # Errors
    /// When the file can't be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let path = path.to_path_buf();
        Ok(Self {
            storage: Mutex::new(Storage::File { file, path }),
        })
    }

    /// Appends lines, to a file in a single write.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn append(&self, lines: &[JournalLine]) -> io::Result<()> {
        let mut text = Vec::new();
        for line in lines {
            serde_json::to_writer(&mut text, line)?;
            text.push(b'\n');
        }
        let mut storage = self.storage.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *storage {
            Storage::File { file, .. } => file.write_all(&text),
            Storage::Memory(memory) => {
                memory.extend_from_slice(&text);
                Ok(())
            }
        }
    }

    /// Returns the whole journal as text.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn read(&self) -> io::Result<Vec<u8>> {
        let storage = self.storage.lock().unwrap_or_else(PoisonError::into_inner);
        match &*storage {
            Storage::File { path, .. } => std::fs::read(path),
            Storage::Memory(memory) => Ok(memory.clone()),
        }
    }
}
