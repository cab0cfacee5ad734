//! Transfer of a compressed routing document in parts.
//!
//! Load pattern: all entries of a zone fetch a large document at once from a few controls over slow
//! links. What has arrived is kept when a call fails, and the transfer goes on at any control that
//! holds the same version: compressed documents are replicated, so their bytes are the same
//! everywhere.

use bytes::{Bytes, BytesMut};
use mgw_world::RoutingVersion;
use serde::{Deserialize, Serialize};

use crate::PackedRouting;
use crate::packed::MAX_SOURCE_BYTES;

/// Size of a part in bytes, but for the last one of a document. A slow link shared by many
/// transfers must carry a part of each within the timeout of a call.
pub const PART_BYTES: usize = 32 * 1024;
/// Number of documents that a control keeps for transfers.
const MAX_TRANSFERABLE: usize = 8;

/// Position in a document from which on a part is requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartPosition {
    /// Version of the document.
    pub version: RoutingVersion,
    /// Number of bytes before the part.
    pub offset_bytes: u64,
}

impl PartPosition {
    /// Whether this is the beginning of another document than the one in transfer.
    fn begins_other_than(self, transfer: Option<&PartialRouting>) -> bool {
        self.offset_bytes == 0 && transfer.is_none_or(|it| it.version != self.version)
    }
}

/// A part of a compressed document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingPart {
    /// Position of the part.
    pub position: PartPosition,
    /// Size of the whole compressed document in bytes.
    pub size_bytes: u64,
    /// Bytes of the part.
    pub bytes: Bytes,
}

impl PackedRouting {
    /// The part of this document from `offset_bytes` on; empty beyond its end.
    #[must_use]
    pub fn part(&self, offset_bytes: u64) -> RoutingPart {
        let size = self.compressed.len();
        let start = usize::try_from(offset_bytes).unwrap_or(size).min(size);
        let end = start.saturating_add(PART_BYTES).min(size);
        RoutingPart {
            position: PartPosition {
                version: self.version,
                offset_bytes,
            },
            size_bytes: size as u64,
            bytes: self.compressed.slice(start..end),
        }
    }
}

/// A document of which some parts have arrived.
#[derive(Debug, Clone)]
pub struct PartialRouting {
    version: RoutingVersion,
    received: BytesMut,
}

/// What became of a part that has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AddedPart {
    /// The document is whole; the transfer has ended.
    Whole(PackedRouting),
    /// More parts are needed.
    Incomplete,
    /// The part doesn't fit: it is empty, or neither the next one nor the first of another version.
    Rejected,
}

impl PartialRouting {
    /// Version of the document.
    #[must_use]
    pub const fn version(&self) -> RoutingVersion {
        self.version
    }

    /// Position of the part that is needed next.
    #[must_use]
    pub fn next_position(&self) -> PartPosition {
        PartPosition {
            version: self.version,
            offset_bytes: self.received.len() as u64,
        }
    }

    /// Adds a part to a transfer. The first part of another version replaces what has arrived: the
    /// control that sent it doesn't hold the version in transfer, and those that do may be lost.
    pub fn add(transfer: &mut Option<Self>, part: &RoutingPart) -> AddedPart {
        if part.bytes.is_empty() || part.size_bytes > MAX_SOURCE_BYTES as u64 {
            return AddedPart::Rejected;
        }
        let is_next = transfer
            .as_ref()
            .is_some_and(|it| it.next_position() == part.position);
        if !is_next {
            if !part.position.begins_other_than(transfer.as_ref()) {
                return AddedPart::Rejected;
            }
            *transfer = None;
        }
        let mut current = transfer.take().unwrap_or_else(|| Self {
            version: part.position.version,
            received: BytesMut::new(),
        });
        current.received.extend_from_slice(&part.bytes);
        if (current.received.len() as u64) < part.size_bytes {
            *transfer = Some(current);
            return AddedPart::Incomplete;
        }
        AddedPart::Whole(PackedRouting {
            version: current.version,
            compressed: current.received.freeze(),
        })
    }
}

/// The documents whose transfers a control goes on with: the newest one, and those before it, so
/// that a transfer ends although newer versions follow one another.
#[derive(Debug, Clone, Default)]
pub struct TransferableRoutings {
    documents: Vec<PackedRouting>,
}

impl TransferableRoutings {
    /// The part at a position. Without a position, or if its document isn't kept any more, the first
    /// part of `newest`.
    pub fn part(&mut self, position: Option<PartPosition>, newest: &PackedRouting) -> RoutingPart {
        self.keep(newest);
        let requested = position.and_then(|position| {
            let mut documents = self.documents.iter();
            let document = documents.find(|document| document.version == position.version)?;
            Some(document.part(position.offset_bytes))
        });
        requested.unwrap_or_else(|| newest.part(0))
    }

    /// Keeps the newest document, so that transfers of it go on when there is a newer one.
    pub fn keep(&mut self, newest: &PackedRouting) {
        if self.documents.iter().any(|it| it.version == newest.version) {
            return;
        }
        if self.documents.len() >= MAX_TRANSFERABLE {
            self.documents.remove(0);
        }
        self.documents.push(newest.clone());
    }
}
