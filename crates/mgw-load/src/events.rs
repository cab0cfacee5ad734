//! Parser of the server-sent event stream of an answer.

use mgw_contract::caller::{CompletionChunk, FinalAnswer, STREAM_END};
use serde::Deserialize;

/// An event of an answer's stream.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub enum StreamEvent {
    /// The final answer.
    Final(FinalAnswer),
    /// One token.
    Chunk(CompletionChunk),
    /// The end mark, which follows the final answer.
    #[serde(skip)]
    End,
}

/// Why an event could not be parsed.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum EventError {
    /// stream event {text:?} is neither a token nor a final answer
    Unknown {
        /// Data of the event.
        text: String,
    },
}

/// Incremental parser that splits a stream into events. The pieces passed to it may end anywhere.
///
/// ```
/// use mgw_load::events::{EventReader, StreamEvent};
/// let mut reader = EventReader::default();
/// assert!(reader.push(b"data: [DO").unwrap().is_empty());
/// assert_eq!(reader.push(b"NE]\n\n").unwrap(), [StreamEvent::End]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct EventReader {
    /// The line received so far, without a line end.
    partial_line: Vec<u8>,
}

impl EventReader {
    /// Parses the next piece of the stream and returns the events that it completes.
    ///
    /// # Errors
    /// Fails if an event is of no known kind.
    pub fn push(&mut self, piece: &[u8]) -> Result<Vec<StreamEvent>, EventError> {
        let mut events = Vec::new();
        for byte in piece {
            if *byte != b'\n' {
                self.partial_line.push(*byte);
                continue;
            }
            let line = std::mem::take(&mut self.partial_line);
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            if let Some(data) = line.strip_prefix(b"data:") {
                events.push(parse_event(data.trim_ascii())?);
            }
        }
        Ok(events)
    }
}

fn parse_event(data: &[u8]) -> Result<StreamEvent, EventError> {
    if data == STREAM_END.as_bytes() {
        return Ok(StreamEvent::End);
    }
    serde_json::from_slice(data).map_err(|_| EventError::Unknown {
        text: String::from_utf8_lossy(data).into_owned(),
    })
}
