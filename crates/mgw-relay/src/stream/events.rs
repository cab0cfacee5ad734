//! Splits a stream into complete events and checks their order.

use bytes::{Bytes, BytesMut};

/// Largest size of an unfinished event; a stream that exceeds it counts as broken.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why the bytes of a stream can't be passed on as events. The stream then leaves its chain with a
/// `StreamFault`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum EventFault {
    /// received event {found}, expected event {expected}
    Gap {
        /// Number of the event that was received.
        found: u64,
        /// Number of the event that should have followed the previous one.
        expected: u64,
    },
    /// an event without a number in the rest of a stream that numbers its events
    Unnumbered,
    /// an event is longer than any event that targets send
    TooLong,
}

/// Buffers bytes until events are complete. Bytes after the last complete event are held back,
/// because a target may fail in the middle of an event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now, or `None` if there are none.
    ///
    /// # Errors
    /// When an unfinished event is longer than `MAX_EVENT_BYTES`.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, EventFault> {
        if self.pending.is_empty() && ends_event(&bytes) {
            return Ok(Some(bytes));
        }
        self.pending.extend_from_slice(&bytes);
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(EventFault::TooLong);
        }
        let complete = end_of_last_event(&self.pending);
        Ok((complete > 0).then(|| self.pending.split_to(complete).freeze()))
    }

    /// Whether bytes of an unfinished event are buffered.
    #[must_use]
    pub fn is_mid_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// Number of bytes up to the end of the last complete event.
fn end_of_last_event(bytes: &[u8]) -> usize {
    let mut end = 0;
    let mut is_line_empty = true;
    for (at, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if is_line_empty && at > 0 => end = at + 1,
            b'\n' => is_line_empty = true,
            b'\r' => {}
            _ => is_line_empty = false,
        }
    }
    end
}

/// Tracks the numbers of events, so that none is missing and none is passed on twice, whichever
/// target sends them.
#[derive(Debug, Clone, Default)]
pub struct EventOrder {
    last: Option<u64>,
    needs_numbers: bool,
}

impl EventOrder {
    /// Continues after the event `last`; `None` accepts any number as the first.
    #[must_use]
    pub const fn after(last: Option<u64>) -> Self {
        Self {
            last,
            needs_numbers: false,
        }
    }

    /// Accepts only numbered events and comments from now on: the rest of a stream comes from another target, and
    /// whatever else it sends isn't part of the stream.
    pub const fn require_numbers(&mut self) {
        self.needs_numbers = true;
    }

    /// Number of the last event passed on.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Checks complete events and returns those that weren't passed on before.
    ///
    /// # Errors
    /// When an event is missing, or isn't part of the stream.
    pub fn accept(&mut self, events: &Bytes) -> Result<Bytes, EventFault> {
        let mut from = 0;
        let mut start = 0;
        while start < events.len() {
            let end = start + event_length(&events[start..]);
            if let Some(found) = parse_event_number(&events[start..end]) {
                match self.last {
                    Some(last) if found <= last => from = end,
                    Some(last) if found > last + 1 => {
                        let expected = last + 1;
                        return Err(EventFault::Gap { found, expected });
                    }
                    _ => self.last = Some(found),
                }
            } else if self.needs_numbers && has_content(&events[start..end]) {
                return Err(EventFault::Unnumbered);
            }
            start = end;
        }
        Ok(events.slice(from..))
    }
}

/// Length of the first event, or of all bytes if it isn't complete.
fn event_length(bytes: &[u8]) -> usize {
    let mut is_line_empty = true;
    for (at, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if is_line_empty && at > 0 => return at + 1,
            b'\n' => is_line_empty = true,
            b'\r' => {}
            _ => is_line_empty = false,
        }
    }
    bytes.len()
}

/// Whether an event has lines other than comments.
fn has_content(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Parses the number in the `id` line of an event.
fn parse_event_number(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
