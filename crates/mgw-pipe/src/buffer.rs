//! Buffered inputs of a stage: needed until its outputs are delivered and, as memory allows, for
//! replay.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use mgw_contract::engine::StageInput;

/// Activations of consecutive positions.
#[derive(Debug, Clone)]
struct Chunk {
    first: u32,
    count: u32,
    bytes: Bytes,
}

/// The activations that one stage received, of which the oldest may have been dropped.
#[derive(Debug, Clone, Default)]
pub struct ActivationBuffer {
    chunks: VecDeque<Chunk>,
    received: u32,
    buffered_bytes: u64,
}

impl ActivationBuffer {
    /// One past the last position received.
    pub const fn received(&self) -> u32 {
        self.received
    }

    /// Bytes of the activations in the buffer.
    pub const fn buffered_bytes(&self) -> u64 {
        self.buffered_bytes
    }

    /// The first position still in the buffer; equal to `received` when it is empty.
    pub fn first_buffered(&self) -> u32 {
        self.chunks
            .front()
            .map_or(self.received, |chunk| chunk.first)
    }

    /// Appends the activations of the next `count` positions.
    pub fn push(&mut self, count: u32, bytes: Bytes) {
        self.buffered_bytes += bytes.len() as u64;
        self.chunks.push_back(Chunk {
            first: self.received,
            count,
            bytes,
        });
        self.received += count;
    }

    /// Drops the chunks whose positions all lie before `position`.
    pub fn drop_before(&mut self, position: u32) {
        while let Some(chunk) = self.chunks.front() {
            if chunk.first + chunk.count > position {
                break;
            }
            self.buffered_bytes -= chunk.bytes.len() as u64;
            self.chunks.pop_front();
        }
    }

    /// The activations of `first..first + count`, without a copy when they lie in one chunk.
    ///
    /// Returns `None` when some of them are no longer in the buffer, or were not received yet.
    pub fn slice(&self, first: u32, count: u32, bytes_per_position: usize) -> Option<StageInput> {
        let end = first + count;
        if first < self.first_buffered() || end > self.received {
            return None;
        }
        let start_index = self
            .chunks
            .partition_point(|chunk| chunk.first + chunk.count <= first);
        let chunk = self.chunks.get(start_index)?;
        if end <= chunk.first + chunk.count {
            let from = (first - chunk.first) as usize * bytes_per_position;
            let to = (end - chunk.first) as usize * bytes_per_position;
            return Some(StageInput::Activations(chunk.bytes.slice(from..to)));
        }
        let mut joined = BytesMut::with_capacity(count as usize * bytes_per_position);
        for chunk in self.chunks.iter().skip(start_index) {
            if chunk.first >= end {
                break;
            }
            let from = first.saturating_sub(chunk.first) as usize * bytes_per_position;
            let to =
                (end.min(chunk.first + chunk.count) - chunk.first) as usize * bytes_per_position;
            joined.extend_from_slice(&chunk.bytes[from..to]);
        }
        Some(StageInput::Activations(joined.freeze()))
    }
}
