//! A routing document as it is replicated, stored and sent to entries: compressed.
//!
//! Load pattern: a document with thousands of routes passes from the control that accepts it to the
//! leader, to all other controls and to hundreds of entries, and controls have a fraction of a core
//! each. Routes are alike, so a compressed document is a small part of the original. It is
//! compressed once, where it is accepted.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use mgw_world::RoutingVersion;
use serde::{Deserialize, Serialize};

use crate::RoutingDocument;

/// Largest document that is unpacked, in bytes.
pub(crate) const MAX_SOURCE_BYTES: usize = 64 * 1024 * 1024;

/// A compressed routing document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRouting {
    /// Version that the operator assigned.
    pub version: RoutingVersion,
    /// The document's bytes in the zlib format; empty at version zero.
    pub(crate) compressed: Bytes,
}

/// Why a document can't be unpacked.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum UnpackError {
    /// the compressed routing document is damaged: {source}
    Damaged {
        /// Error of the decoder.
        source: std::io::Error,
    },
    /// the routing document has more than {max_bytes} bytes
    TooLarge {
        /// Largest size that is accepted.
        max_bytes: usize,
    },
}

impl PackedRouting {
    /// Compresses a document.
    ///
    /// # Errors
    /// When the encoder fails.
    pub fn pack(document: &RoutingDocument) -> std::io::Result<Self> {
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&document.source)?;
        Ok(Self {
            version: document.version,
            compressed: encoder.finish()?.into(),
        })
    }

    /// Compresses a document that was stored in place of a compressed one: up to format 2, snapshots
    /// hold the plain bytes in the same position.
    ///
    /// # Errors
    /// When the encoder fails.
    pub fn pack_stored_plain(self) -> std::io::Result<Self> {
        if self.version == RoutingVersion::default() {
            return Ok(self);
        }
        Self::pack(&RoutingDocument {
            version: self.version,
            source: self.compressed.as_ref().into(),
        })
    }

    /// Restores the document.
    ///
    /// # Errors
    /// When the bytes are damaged, or the document is too large.
    pub fn unpack(&self) -> Result<RoutingDocument, UnpackError> {
        if self.version == RoutingVersion::default() {
            return Ok(RoutingDocument::default());
        }
        let limit = MAX_SOURCE_BYTES as u64 + 1;
        let mut source = Vec::new();
        ZlibDecoder::new(self.compressed.as_ref())
            .take(limit)
            .read_to_end(&mut source)
            .map_err(|source| UnpackError::Damaged { source })?;
        if source.len() > MAX_SOURCE_BYTES {
            return Err(UnpackError::TooLarge {
                max_bytes: MAX_SOURCE_BYTES,
            });
        }
        Ok(RoutingDocument {
            version: self.version,
            source: source.into(),
        })
    }

    /// Size of the compressed document in bytes.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        self.compressed.len()
    }
}
