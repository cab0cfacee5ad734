//! Reading of journal files.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use mgw_world::RequestId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::journal::JournalLine;

/// A journal can't be checked.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum JournalError {
    /// can't read {path}: {source}
    Unreadable {
        /// File.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// {path}:{line}: not a journal line: {source}
    Malformed {
        /// File.
        path: PathBuf,
        /// Line, from one.
        line: usize,
        /// What the decoder said.
        source: serde_json::Error,
    },
}

/// A whole answer that a caller received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerLine {
    /// Request answered.
    pub request: RequestId,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

impl AnswerLine {
    /// Positions that every layer must have run: the last token is not fed back.
    #[must_use]
    pub const fn positions(self) -> u32 {
        (self.prompt_tokens + self.answer_tokens).saturating_sub(1)
    }
}

/// Reads a file of [`AnswerLine`]s as the positions needed for each request.
///
/// # Errors
/// When the file can't be read or holds another kind of line.
pub fn read_answers(path: &Path) -> Result<BTreeMap<RequestId, u32>, JournalError> {
    let lines: Vec<AnswerLine> = read_json_lines(path)?;
    Ok(lines
        .into_iter()
        .map(|line| (line.request, line.positions()))
        .collect())
}

/// Reads a journal.
pub(crate) fn read_journal(path: &Path) -> Result<Vec<JournalLine>, JournalError> {
    read_json_lines(path)
}

/// Reads JSON lines. A last line without its line break is left out: its writer was killed.
fn read_json_lines<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, JournalError> {
    let text = std::fs::read_to_string(path).map_err(|source| JournalError::Unreadable {
        path: path.to_path_buf(),
        source,
    })?;
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let lines = whole.lines().enumerate();
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
