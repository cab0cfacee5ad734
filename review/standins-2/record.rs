//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the run.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file, in place of one from an earlier run.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Adds a line to the file and shows it.
    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        // The output may be closed.
        let _ = std::io::stdout().write_all(line.as_bytes());
        let mut file = self
            .file
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        // The record is an aid; the verdict is the exit code.
        let _ = file.write_all(line.as_bytes());
    }
}
