//! Reading of an answer's event stream.

use mgw_contract::caller::{CompletionChunk, FinalAnswer, STREAM_END};
use serde::Deserialize;

/// An event of an answer's stream.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub enum StreamEvent {
    /// The final answer.
    Final(FinalAnswer),
    /// A token.
    Chunk(CompletionChunk),
    /// The mark after the final answer.
    #[serde(skip)]
    End,
}

/// An event is neither a token nor a final answer.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum EventError {
    /// event {text:?} is neither a token nor a final answer
    Unknown {
        /// Text of the event.
        text: String,
    },
}

/// Splits a stream into events, however it is cut into pieces.
///
/// ```
/// use mgw_load::events::{EventReader, StreamEvent};
/// let mut reader = EventReader::default();
/// assert!(reader.push(b"data: [DO").unwrap().is_empty());
/// assert_eq!(reader.push(b"NE]\n\n").unwrap(), [StreamEvent::End]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct EventReader {
    line: Vec<u8>,
}

impl EventReader {
    /// Takes a piece of the stream and returns the events that it completes.
    ///
    /// # Errors
    /// When an event is of no known kind.
    pub fn push(&mut self, piece: &[u8]) -> Result<Vec<StreamEvent>, EventError> {
        let mut events = Vec::new();
        for byte in piece {
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            if let Some(data) = line.strip_prefix(b"data:") {
                events.push(read_event(data.trim_ascii())?);
            }
        }
        Ok(events)
    }
}

fn read_event(data: &[u8]) -> Result<StreamEvent, EventError> {
    if data == STREAM_END.as_bytes() {
        return Ok(StreamEvent::End);
    }
    serde_json::from_slice(data).map_err(|_| EventError::Unknown {
        text: String::from_utf8_lossy(data).into_owned(),
    })
}
