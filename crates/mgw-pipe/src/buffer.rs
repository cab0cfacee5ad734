//! Inputs of a stage, kept until they are delivered and, where memory allows, for replay.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use mgw_contract::engine::StageInput;

/// Inputs of consecutive positions.
#[derive(Debug, Clone)]
struct Chunk {
    first: u32,
    count: u32,
    bytes: Bytes,
}

/// Activations received by one stage.
#[derive(Debug, Clone, Default)]
pub struct ActivationBuffer {
    chunks: VecDeque<Chunk>,
    received: u32,
    kept_bytes: u64,
}

impl ActivationBuffer {
    /// One past the last position received.
    pub const fn received(&self) -> u32 {
        self.received
    }

    /// Bytes held.
    pub const fn kept_bytes(&self) -> u64 {
        self.kept_bytes
    }

    /// The first position still held; equal to `received` when none is.
    pub fn first_kept(&self) -> u32 {
        self.chunks
            .front()
            .map_or(self.received, |chunk| chunk.first)
    }

    /// Appends the activations of the next `count` positions.
    pub fn push(&mut self, count: u32, bytes: Bytes) {
        self.kept_bytes += bytes.len() as u64;
        self.chunks.push_back(Chunk {
            first: self.received,
            count,
            bytes,
        });
        self.received += count;
    }

    /// Drops whole chunks that lie before a position.
    pub fn drop_before(&mut self, position: u32) {
        while let Some(chunk) = self.chunks.front() {
            if chunk.first + chunk.count > position {
                break;
            }
            self.kept_bytes -= chunk.bytes.len() as u64;
            self.chunks.pop_front();
        }
    }

    /// The activations of `first..first + count`, without a copy when one chunk holds them all.
    ///
    /// Returns nothing when some of them are no longer held.
    pub fn slice(&self, first: u32, count: u32, bytes_each: usize) -> Option<StageInput> {
        let end = first + count;
        if first < self.first_kept() || end > self.received {
            return None;
        }
        let start_index = self
            .chunks
            .partition_point(|chunk| chunk.first + chunk.count <= first);
        let chunk = self.chunks.get(start_index)?;
        if end <= chunk.first + chunk.count {
            let from = (first - chunk.first) as usize * bytes_each;
            let to = (end - chunk.first) as usize * bytes_each;
            return Some(StageInput::Activations(chunk.bytes.slice(from..to)));
        }
        let mut joined = BytesMut::with_capacity(count as usize * bytes_each);
        for chunk in self.chunks.iter().skip(start_index) {
            if chunk.first >= end {
                break;
            }
            let from = first.saturating_sub(chunk.first) as usize * bytes_each;
            let to = (end.min(chunk.first + chunk.count) - chunk.first) as usize * bytes_each;
            joined.extend_from_slice(&chunk.bytes[from..to]);
        }
        Some(StageInput::Activations(joined.freeze()))
    }
}
