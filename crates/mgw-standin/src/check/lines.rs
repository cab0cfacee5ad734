//! Reads journal files and files of complete answers.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use mgw_world::RequestId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::journal::JournalLine;

/// Reason why a file can't be read for a check.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum JournalError {
    /// can't read {path}: {source}
    Unreadable {
        /// Path of the journal file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// {path}:{line}: expected a JSON line of the right kind: {source}
    Malformed {
        /// Path of the journal file.
        path: PathBuf,
        /// Line number, counted from one.
        line: usize,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
}

/// A complete answer that a caller received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerLine {
    /// Request that was answered.
    pub request: RequestId,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens of the answer.
    pub answer_tokens: u32,
}

impl AnswerLine {
    /// Number of positions that every layer must have run. The last token of the answer is not fed
    /// back into the model, so it needs no position.
    #[must_use]
    pub const fn positions(self) -> u32 {
        (self.prompt_tokens + self.answer_tokens).saturating_sub(1)
    }
}

/// Reads a file of [`AnswerLine`]s and returns the number of positions required per request.
///
/// # Errors
/// When the file can't be read or contains another kind of line.
pub fn read_answers(path: &Path) -> Result<BTreeMap<RequestId, u32>, JournalError> {
    let lines: Vec<AnswerLine> = read_json_lines(path)?;
    Ok(lines
        .into_iter()
        .map(|line| (line.request, line.positions()))
        .collect())
}

/// Reads the lines of a journal file.
pub(crate) fn read_journal(path: &Path) -> Result<Vec<JournalLine>, JournalError> {
    read_json_lines(path)
}

/// Reads JSON lines. A last line without a line break is skipped: its writer was killed while it
/// wrote.
fn read_json_lines<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, JournalError> {
    let text = std::fs::read_to_string(path).map_err(|source| JournalError::Unreadable {
        path: path.to_path_buf(),
        source,
    })?;
    let complete_lines = text.rfind('\n').map_or("", |end| &text[..end]);
    let lines = complete_lines.lines().enumerate();
    lines
        .map(|(index, line)| {
            serde_json::from_str(line).map_err(|source| JournalError::Malformed {
                path: path.to_path_buf(),
                line: index + 1,
                source,
            })
        })
        .collect()
}
