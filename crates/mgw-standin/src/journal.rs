//! The journal of what a stand-in really executed, one JSON line for each step, order or call.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

use mgw_contract::engine::SessionKey;
use mgw_world::{
    FenceNumber, Incarnation, LayerRange, ModelVersion, Position, ServiceName, TargetName,
};
use serde::{Deserialize, Serialize};

/// A step that ran: each of its layers once on each of its positions, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepLine {
    /// Session of the step.
    pub session: SessionKey,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Layers run.
    pub layers: LayerRange,
    /// First position.
    pub first: Position,
    /// Number of positions.
    pub count: u32,
    /// Value that entered the first layer at the last position.
    pub value_in: u64,
    /// Value that left the last layer at the last position.
    pub value_out: u64,
}

/// What was executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum JournalEvent {
    /// A step ran.
    Step(StepLine),
    /// A session was opened from a KV cache.
    Import {
        /// Session opened.
        session: SessionKey,
        /// Layers of the cache.
        layers: LayerRange,
        /// Next position that it expects.
        next: Position,
    },
    /// A session was freed on request or for idleness.
    Free {
        /// Session freed.
        session: SessionKey,
    },
    /// An order was accepted.
    Order {
        /// Its fencing number.
        fence: FenceNumber,
        /// Its number under the fencing number.
        sequence: u64,
        /// Layers ordered.
        layers: LayerRange,
        /// Version ordered.
        version: ModelVersion,
    },
    /// A call of a plain service ran.
    Call {
        /// Service called.
        service: ServiceName,
        /// Path called.
        path: String,
        /// Idempotency key, if the call had one.
        key: Option<String>,
        /// Workspace that the call came from, if it said so.
        workspace: Option<String>,
        /// Number of the call at this process, from one.
        count: u64,
    },
}

/// One line of a journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalLine {
    /// Target that executed it.
    pub target: TargetName,
    /// Incarnation of the target at that time.
    pub incarnation: Incarnation,
    /// What was executed.
    #[serde(flatten)]
    pub event: JournalEvent,
}

#[derive(Debug)]
enum Store {
    File { file: File, path: PathBuf },
    Memory(Vec<u8>),
}

/// Appends lines to a file, or to memory when there is none.
#[derive(Debug)]
pub struct Journal {
    store: Mutex<Store>,
}

impl Journal {
    /// A journal in memory.
    #[must_use]
    pub const fn in_memory() -> Self {
        Self {
            store: Mutex::new(Store::Memory(Vec::new())),
        }
    }

    /// A journal in a file, which is appended to.
    ///
    /// # Errors
    /// When the file can't be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let path = path.to_path_buf();
        Ok(Self {
            store: Mutex::new(Store::File { file, path }),
        })
    }

    /// Appends lines in one write.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn append(&self, lines: &[JournalLine]) -> io::Result<()> {
        let mut text = Vec::new();
        for line in lines {
            serde_json::to_writer(&mut text, line)?;
            text.push(b'\n');
        }
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *store {
            Store::File { file, .. } => file.write_all(&text),
            Store::Memory(memory) => {
                memory.extend_from_slice(&text);
                Ok(())
            }
        }
    }

    /// The whole journal as text.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn read(&self) -> io::Result<Vec<u8>> {
        let store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        match &*store {
            Store::File { path, .. } => std::fs::read(path),
            Store::Memory(memory) => Ok(memory.clone()),
        }
    }
}
