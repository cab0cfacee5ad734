//! Cuts a stream into whole events and checks their order.

use bytes::{Bytes, BytesMut};

/// Bytes of an unfinished event beyond which a stream counts as broken.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why a stream can't go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum EventFault {
    /// event {found} came where {expected} was due
    Gap {
        /// Number of the event that came.
        found: u64,
        /// Number that was due.
        expected: u64,
    },
    /// an event is longer than any that a target sends
    TooLong,
}

/// Collects bytes until events are whole. Bytes after the last whole event are held back, as a
/// target may stop in the middle of one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Takes bytes and gives the whole events among those held, none if there are none.
    ///
    /// # Errors
    /// When an unfinished event is longer than any that a target sends.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, EventFault> {
        if self.pending.is_empty() && ends_event(&bytes) {
            return Ok(Some(bytes));
        }
        self.pending.extend_from_slice(&bytes);
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(EventFault::TooLong);
        }
        let whole = end_of_whole(&self.pending);
        Ok((whole > 0).then(|| self.pending.split_to(whole).freeze()))
    }

    /// Whether bytes of an unfinished event are held.
    #[must_use]
    pub fn is_mid_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// Bytes up to the end of the last whole event.
fn end_of_whole(bytes: &[u8]) -> usize {
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

/// Follows the numbers of events, so that none is missing and none comes twice, whichever target
/// sends them.
#[derive(Debug, Clone, Default)]
pub struct EventOrder {
    last: Option<u64>,
}

impl EventOrder {
    /// An order that goes on after an event, if any is known.
    #[must_use]
    pub const fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Number of the last event passed on.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes whole events and gives those that are due; events that were passed on before are left
    /// out.
    ///
    /// # Errors
    /// When an event is missing.
    pub fn take(&mut self, events: &Bytes) -> Result<Bytes, EventFault> {
        let mut from = 0;
        let mut start = 0;
        while start < events.len() {
            let end = start + length_of_event(&events[start..]);
            if let Some(found) = read_number(&events[start..end]) {
                match self.last {
                    Some(last) if found <= last => from = end,
                    Some(last) if found > last + 1 => {
                        let expected = last + 1;
                        return Err(EventFault::Gap { found, expected });
                    }
                    _ => self.last = Some(found),
                }
            }
            start = end;
        }
        Ok(events.slice(from..))
    }
}

fn length_of_event(bytes: &[u8]) -> usize {
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

/// The number in an event's `id` line.
fn read_number(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
