//! Puts the content of the log and snapshot files together after a start.

use super::frame::{Scan, report, scan_frames};
use crate::{Damage, Entry, HardState, Index, RecoveredState, Snapshot, Term};
use serde::{Deserialize, Serialize};

pub(super) const LOG: &str = "log";
pub(super) const SNAPSHOT: &str = "snapshot";

/// Position that the entries of a log file follow on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Base {
    pub(super) index: Index,
    pub(super) term: Term,
}

/// One frame of the log file.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct Batch {
    /// In the first frame only.
    pub(super) base: Option<Base>,
    pub(super) hard_state: Option<HardState>,
    pub(super) truncate_from: Option<Index>,
    pub(super) entries: Vec<Entry>,
}

/// Content of the files, and what has to be mended in them.
pub(super) struct Reading {
    pub(super) recovered: RecoveredState,
    pub(super) valid_bytes: usize,
    pub(super) next_sequence: u64,
    /// Set when the log file doesn't follow on the snapshot, after a crash between the two.
    pub(super) is_log_old: bool,
}

/// Reads the files of a folder that has an identity, where a log must exist.
pub(super) fn read_state(log: Option<&[u8]>, snapshot: Option<&[u8]>) -> Result<Reading, Damage> {
    let log = log.ok_or_else(|| report(LOG, 0, "the file is missing"))?;
    let snapshot = snapshot.map(read_snapshot).transpose()?;
    let scan: Scan<Batch> = scan_frames(LOG, log)?;
    let valid_bytes = scan.valid_bytes;
    let next_sequence = scan.next_sequence;
    let (base, hard_state, entries) = replay(scan.records)?;
    let position = snapshot.as_ref().map_or(Base::default(), |it| Base {
        index: it.meta.index,
        term: it.meta.term,
    });
    if base.index > position.index {
        return Err(report(
            SNAPSHOT,
            0,
            "the file is older than the log or missing",
        ));
    }
    let entries = follow_on(base, position, entries)?;
    Ok(Reading {
        recovered: RecoveredState {
            hard_state,
            snapshot,
            entries,
            damage: None,
        },
        valid_bytes,
        next_sequence,
        is_log_old: base != position,
    })
}

fn read_snapshot(bytes: &[u8]) -> Result<Snapshot, Damage> {
    let scan: Scan<Snapshot> = scan_frames(SNAPSHOT, bytes)?;
    let is_whole = scan.valid_bytes == bytes.len() && scan.records.len() == 1;
    scan.records
        .into_iter()
        .next()
        .filter(|_| is_whole)
        .ok_or_else(|| report(SNAPSHOT, 0, "the file doesn't hold exactly one record"))
}

fn replay(batches: Vec<Batch>) -> Result<(Base, HardState, Vec<Entry>), Damage> {
    let base = batches
        .first()
        .and_then(|batch| batch.base)
        .ok_or_else(|| report(LOG, 0, "the first record is missing"))?;
    let mut hard_state = HardState::default();
    let mut entries: Vec<Entry> = Vec::new();
    for batch in batches {
        if let Some(newer) = batch.hard_state {
            hard_state = newer;
        }
        if let Some(first) = batch.truncate_from {
            entries.retain(|entry| entry.index < first);
        }
        for entry in batch.entries {
            let expected = Index(base.index.0 + entries.len() as u64 + 1);
            if entry.index != expected {
                return Err(report(LOG, 0, "entries don't follow on one another"));
            }
            entries.push(entry);
        }
    }
    Ok((base, hard_state, entries))
}

fn follow_on(base: Base, position: Base, entries: Vec<Entry>) -> Result<Vec<Entry>, Damage> {
    if base.index == position.index {
        if base.term != position.term {
            return Err(report(LOG, 0, "the log doesn't follow on the snapshot"));
        }
        return Ok(entries);
    }
    let is_shared = entries
        .iter()
        .any(|entry| entry.index == position.index && entry.term == position.term);
    if !is_shared {
        return Ok(Vec::new());
    }
    let after = entries
        .into_iter()
        .filter(|entry| entry.index > position.index);
    Ok(after.collect())
}
