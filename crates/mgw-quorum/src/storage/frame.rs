//! Checksummed frames, and how a torn tail is distinguished from damage.
//!
//! Layout: start mark, payload length, sequence number, checksum of these three, checksum of the
//! payload, payload, end mark. Numbers are little-endian.

use super::StorageError;
use crate::Damage;
use serde::Serialize;
use serde::de::DeserializeOwned;

const START_MARK: u8 = 0x5a;
const END_MARK: u8 = 0xa5;
/// Bytes that the header checksum covers: start mark, payload length and sequence number.
const CHECKED_BYTES: usize = 1 + 4 + 8;
const HEADER_BYTES: usize = CHECKED_BYTES + 4 + 4;
const SECTOR_BYTES: usize = 512;

/// A frame that was read and whose checksums are right.
pub(super) struct Frame<'a> {
    pub(super) sequence: u64,
    pub(super) payload: &'a [u8],
    /// Offset of the byte after the frame.
    pub(super) end: usize,
}

/// Decoded records of a file up to its end or its torn tail.
pub(super) struct Scan<T> {
    pub(super) records: Vec<T>,
    pub(super) valid_bytes: usize,
    pub(super) next_sequence: u64,
}

struct Header {
    payload_bytes: usize,
    sequence: u64,
    payload_crc: u32,
}

pub(super) fn encode_frame<T: Serialize>(
    sequence: u64,
    record: &T,
) -> Result<Vec<u8>, StorageError> {
    let payload = postcard::to_stdvec(record).map_err(|source| StorageError::Encode { source })?;
    let size_bytes = payload.len();
    let length = u32::try_from(size_bytes).map_err(|_| StorageError::TooLarge { size_bytes })?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + size_bytes + 1);
    bytes.push(START_MARK);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&sequence.to_le_bytes());
    let header_crc = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&header_crc.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes.push(END_MARK);
    Ok(bytes)
}

/// Reads all frames of a file. Leaves out a torn tail; anything else that is unreadable is damage.
pub(super) fn scan_frames<T: DeserializeOwned>(
    file: &str,
    bytes: &[u8],
) -> Result<Scan<T>, Damage> {
    let mut scan = Scan {
        records: Vec::new(),
        valid_bytes: 0,
        next_sequence: 0,
    };
    while scan.valid_bytes < bytes.len() {
        let offset = scan.valid_bytes;
        let is_first = offset == 0;
        let candidate = read_frame(bytes, offset);
        let frame = candidate.filter(|frame| is_first || frame.sequence == scan.next_sequence);
        let Some(frame) = frame else {
            if !is_first && is_torn(bytes, offset, scan.next_sequence) {
                return Ok(scan);
            }
            return Err(damage_at(
                file,
                offset,
                "checksum or sequence number is wrong",
            ));
        };
        let record = postcard::from_bytes(frame.payload)
            .map_err(|_| damage_at(file, offset, "record can't be decoded"))?;
        scan.records.push(record);
        scan.valid_bytes = frame.end;
        scan.next_sequence = frame.sequence + 1;
    }
    Ok(scan)
}

pub(super) fn damage_at(file: &str, offset: usize, reason: &str) -> Damage {
    Damage {
        file: file.to_owned(),
        offset: offset as u64,
        reason: reason.to_owned(),
    }
}

fn read_frame(bytes: &[u8], offset: usize) -> Option<Frame<'_>> {
    let header = read_header(bytes, offset)?;
    let start = offset + HEADER_BYTES;
    let end = start.checked_add(header.payload_bytes)?;
    let payload = bytes.get(start..end)?;
    let is_whole = bytes.get(end) == Some(&END_MARK);
    if !is_whole || crc32fast::hash(payload) != header.payload_crc {
        return None;
    }
    Some(Frame {
        sequence: header.sequence,
        payload,
        end: end + 1,
    })
}

fn read_header(bytes: &[u8], offset: usize) -> Option<Header> {
    let header = bytes.get(offset..offset.checked_add(HEADER_BYTES)?)?;
    let checked = &header[..CHECKED_BYTES];
    let header_crc = u32::from_le_bytes(header[13..17].try_into().ok()?);
    if header[0] != START_MARK || crc32fast::hash(checked) != header_crc {
        return None;
    }
    let length = u32::from_le_bytes(header[1..5].try_into().ok()?);
    Some(Header {
        payload_bytes: usize::try_from(length).ok()?,
        sequence: u64::from_le_bytes(header[5..13].try_into().ok()?),
        payload_crc: u32::from_le_bytes(header[17..21].try_into().ok()?),
    })
}

/// Whether the bytes from `offset` on can be the remains of one append that was never synced: they
/// are shorter than the frame's length, or include a sector that was never written. Only one append
/// is in flight at a time, so a later valid frame rules this out.
fn is_torn(bytes: &[u8], offset: usize, sequence: u64) -> bool {
    if has_later_frame(bytes, offset, sequence) {
        return false;
    }
    let remaining_bytes = bytes.len() - offset;
    let is_incomplete = match read_header(bytes, offset) {
        Some(header) => remaining_bytes < HEADER_BYTES + header.payload_bytes + 1,
        None => remaining_bytes < HEADER_BYTES,
    };
    is_incomplete || has_unwritten_sector(bytes, offset)
}

/// Whether a valid frame with a later sequence number starts after `offset`.
fn has_later_frame(bytes: &[u8], offset: usize, sequence: u64) -> bool {
    let starts = offset + 1..bytes.len();
    starts
        .filter(|start| bytes[*start] == START_MARK)
        .filter_map(|start| read_frame(bytes, start))
        .any(|frame| frame.sequence > sequence)
}

/// Whether the part of some disk sector after `offset` is all zeros.
fn has_unwritten_sector(bytes: &[u8], offset: usize) -> bool {
    let mut start = offset;
    while start < bytes.len() {
        let sector_end = (start / SECTOR_BYTES + 1) * SECTOR_BYTES;
        let end = sector_end.min(bytes.len());
        if bytes[start..end].iter().all(|byte| *byte == 0) {
            return true;
        }
        start = end;
    }
    false
}
