//! Recovery after a start: restores the state of a replica from its log and snapshot files.

use super::frame::{Scan, damage_at, scan_frames};
use crate::{Damage, Entry, HardState, Index, RecoveredState, Snapshot, Term};
use serde::{Deserialize, Serialize};

pub(super) const LOG: &str = "log";
pub(super) const SNAPSHOT: &str = "snapshot";

/// Index and term of the entry just before the first entry of a log file.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Base {
    pub(super) index: Index,
    pub(super) term: Term,
}

/// Content of one frame of the log file.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct Batch {
    /// Set in the first frame only.
    pub(super) base: Option<Base>,
    pub(super) hard_state: Option<HardState>,
    pub(super) truncate_from: Option<Index>,
    pub(super) entries: Vec<Entry>,
}

/// State that the files hold, and what must be repaired in the log file.
pub(super) struct FilesState {
    pub(super) recovered: RecoveredState,
    /// Length of the log file without its torn tail.
    pub(super) valid_bytes: usize,
    pub(super) next_sequence: u64,
    /// Set when the log file doesn't start just after the snapshot, because of a crash between the
    /// replacement of the snapshot and that of the log.
    pub(super) is_log_outdated: bool,
}

/// Decodes the files of a folder that has an identity. Such a folder must have a log.
pub(super) fn read_state(
    log: Option<&[u8]>,
    snapshot: Option<&[u8]>,
) -> Result<FilesState, Damage> {
    let log = log.ok_or_else(|| damage_at(LOG, 0, "the file is missing"))?;
    let snapshot = snapshot.map(read_snapshot).transpose()?;
    let scan: Scan<Batch> = scan_frames(LOG, log)?;
    let valid_bytes = scan.valid_bytes;
    let next_sequence = scan.next_sequence;
    let (base, hard_state, entries) = replay(scan.records)?;
    let snapshot_base = snapshot.as_ref().map_or(Base::default(), |it| Base {
        index: it.meta.index,
        term: it.meta.term,
    });
    if base.index > snapshot_base.index {
        return Err(damage_at(
            SNAPSHOT,
            0,
            "the file is missing or older than the start of the log",
        ));
    }
    let entries = entries_after_snapshot(base, snapshot_base, entries)?;
    Ok(FilesState {
        recovered: RecoveredState {
            hard_state,
            snapshot,
            entries,
            damage: None,
        },
        valid_bytes,
        next_sequence,
        is_log_outdated: base != snapshot_base,
    })
}

fn read_snapshot(bytes: &[u8]) -> Result<Snapshot, Damage> {
    let scan: Scan<Snapshot> = scan_frames(SNAPSHOT, bytes)?;
    let is_whole = scan.valid_bytes == bytes.len() && scan.records.len() == 1;
    scan.records
        .into_iter()
        .next()
        .filter(|_| is_whole)
        .ok_or_else(|| damage_at(SNAPSHOT, 0, "the file doesn't hold exactly one record"))
}

/// Applies the batches of a log file in order.
fn replay(batches: Vec<Batch>) -> Result<(Base, HardState, Vec<Entry>), Damage> {
    let base = batches
        .first()
        .and_then(|batch| batch.base)
        .ok_or_else(|| damage_at(LOG, 0, "the first record is missing"))?;
    let mut hard_state = HardState::default();
    let mut entries: Vec<Entry> = Vec::new();
    for batch in batches {
        if let Some(newer) = batch.hard_state {
            hard_state = newer;
        }
        if let Some(first_index) = batch.truncate_from {
            entries.retain(|entry| entry.index < first_index);
        }
        for entry in batch.entries {
            let expected = Index(base.index.0 + entries.len() as u64 + 1);
            if entry.index != expected {
                return Err(damage_at(
                    LOG,
                    0,
                    "the indexes of the entries have a gap or go back",
                ));
            }
            entries.push(entry);
        }
    }
    Ok((base, hard_state, entries))
}

/// Entries of a log file that follow the snapshot. There are none if the log doesn't hold the last
/// entry that the snapshot includes.
fn entries_after_snapshot(
    base: Base,
    snapshot_base: Base,
    entries: Vec<Entry>,
) -> Result<Vec<Entry>, Damage> {
    if base.index == snapshot_base.index {
        if base.term != snapshot_base.term {
            return Err(damage_at(
                LOG,
                0,
                "the log starts at another term than the snapshot ends",
            ));
        }
        return Ok(entries);
    }
    let has_last_entry = entries
        .iter()
        .any(|entry| entry.index == snapshot_base.index && entry.term == snapshot_base.term);
    if !has_last_entry {
        return Ok(Vec::new());
    }
    let remaining = entries
        .into_iter()
        .filter(|entry| entry.index > snapshot_base.index);
    Ok(remaining.collect())
}
