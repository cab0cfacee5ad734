//! Tests of the data folder: torn tails, damage, failed syncs, and crashes at each sync.
#![allow(clippy::unwrap_used)]

use mgw_quorum::{
    DiskWrite, Entry, FilePoint, FileStep, HardState, Index, Payload, RecoveredState, Replica,
    ReplicaId, Role, Settings, Snapshot, SnapshotMeta, Storage, StorageError, Term, WriteId,
};
use mgw_world::Millis;
use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tempfile::{TempDir, tempdir};

const DISK: u64 = 41;

fn open_folder(folder: &Path) -> (Storage, RecoveredState) {
    Storage::open(folder, "vm-1", DISK, Box::new(|_| Ok(()))).unwrap()
}

fn entry(index: u64, bytes: usize) -> Entry {
    Entry {
        term: Term(1),
        index: Index(index),
        payload: Payload::Command(vec![index as u8 | 1; bytes]),
    }
}

fn append_write(index: u64) -> DiskWrite {
    DiskWrite {
        id: WriteId(index),
        hard_state: Some(HardState {
            term: Term(index),
            voted_for: Some(ReplicaId::new("vm-2", 2)),
        }),
        append: vec![entry(index, 700)],
        ..DiskWrite::default()
    }
}

fn snapshot_write(index: u64) -> DiskWrite {
    DiskWrite {
        snapshot: Some(Snapshot {
            meta: SnapshotMeta {
                index: Index(index),
                term: Term(1),
                ..SnapshotMeta::default()
            },
            data: vec![9; 100],
        }),
        append: vec![entry(index + 1, 10)],
        ..DiskWrite::default()
    }
}

/// A folder with three synced entries, and the offset of the last record in its log.
fn folder_with_three_entries() -> (TempDir, usize) {
    let folder = tempdir().unwrap();
    let (mut storage, _) = open_folder(folder.path());
    let mut last_record_offset = 0;
    for index in 1..=3 {
        last_record_offset = fs::read(folder.path().join("log")).unwrap().len();
        storage.write(&append_write(index)).unwrap();
    }
    (folder, last_record_offset)
}

fn edit_file(folder: &TempDir, file: &str, change: impl FnOnce(&mut Vec<u8>)) {
    let path = folder.path().join(file);
    let mut bytes = fs::read(&path).unwrap();
    change(&mut bytes);
    fs::write(&path, bytes).unwrap();
}

/// For each change of the log file, whose last record starts at `tail`: a test of how many entries
/// are recovered, None for damage.
macro_rules! log_change_tests {
    ($($name:ident: $change:expr => $entries:expr;)+) => {$(
        #[test]
        fn $name() {
            let (folder, tail) = folder_with_three_entries();
            let change: fn(&mut Vec<u8>, usize) = $change;
            edit_file(&folder, "log", |bytes| change(bytes, tail));
            let expected: Option<usize> = $entries;
            let (mut storage, recovered) = open_folder(folder.path());
            assert_eq!(recovered.damage.is_none(), expected.is_some(), "{:?}", recovered.damage);
            let Some(entries) = expected else {
                assert!(matches!(storage.write(&append_write(4)), Err(StorageError::Closed)));
                return;
            };
            assert_eq!(recovered.entries.len(), entries);
            storage.write(&append_write(entries as u64 + 1)).unwrap();
            drop(storage);
            let (_, reopened) = open_folder(folder.path());
            assert_eq!(reopened.entries.len(), entries + 1);
        }
    )+};
}

log_change_tests! {
    intact_log_is_read: |_, _| {} => Some(3);
    truncation_in_the_header_drops_the_last_record:
        |bytes, tail| bytes.truncate(tail + 5) => Some(2);
    truncation_in_the_payload_drops_the_last_record:
        |bytes, tail| bytes.truncate(tail + 300) => Some(2);
    truncation_of_the_last_byte_drops_the_last_record:
        |bytes, _| bytes.truncate(bytes.len() - 1) => Some(2);
    unwritten_sector_drops_the_last_record: |bytes, tail| {
        let start = (tail / 512 + 1) * 512;
        let end = (start + 512).min(bytes.len());
        bytes[start..end].fill(0);
    } => Some(2);
    zeros_after_the_end_are_ignored: |bytes, _| bytes.extend([0; 2000]) => Some(3);
    bit_flip_in_the_last_record_is_damage: |bytes, tail| bytes[tail + 100] ^= 1 => None;
    bit_flip_in_the_last_header_is_damage: |bytes, tail| bytes[tail + 1] ^= 4 => None;
    bit_flip_before_the_last_record_is_damage: |bytes, tail| bytes[tail - 50] ^= 1 => None;
    zeros_before_the_last_record_are_damage: |bytes, tail| bytes[tail - 200..tail].fill(0) => None;
    bit_flip_in_the_first_record_is_damage: |bytes, _| bytes[3] ^= 1 => None;
    missing_record_is_damage: |bytes, tail| drop(bytes.drain(tail - 760..tail)) => None;
    empty_log_is_damage: |bytes, _| bytes.clear() => None;
}

/// For each change of the files: a test that it is damage, and that the replica then does nothing.
macro_rules! damaged_file_tests {
    ($($name:ident: $change:expr;)+) => {$(
        #[test]
        fn $name() {
            let (folder, _) = folder_with_three_entries();
            let (mut storage, _) = open_folder(folder.path());
            storage.write(&snapshot_write(2)).unwrap();
            drop(storage);
            let change: fn(&TempDir) = $change;
            change(&folder);
            let (storage, recovered) = open_folder(folder.path());
            let damage = recovered.damage.clone();
            assert!(damage.is_some());
            let id = storage.id().clone();
            let mut replica = Replica::new(id, Settings::default(), recovered, Millis(0), 1);
            replica.tick(Millis(10_000));
            let output = replica.take_output();
            assert_eq!(replica.role(), Role::Damaged);
            assert_eq!(output.role_change.map(|it| it.role), Some(Role::Damaged));
            assert_eq!(replica.damage(), damage.as_ref());
            assert!(output.messages.is_empty());
        }
    )+};
}

damaged_file_tests! {
    missing_log_is_damage: |folder| fs::remove_file(folder.path().join("log")).unwrap();
    missing_snapshot_is_damage: |folder| fs::remove_file(folder.path().join("snapshot")).unwrap();
    bit_flip_in_the_snapshot_is_damage:
        |folder| edit_file(folder, "snapshot", |bytes| bytes[60] ^= 1);
    truncated_snapshot_is_damage:
        |folder| edit_file(folder, "snapshot", |bytes| bytes.truncate(40));
    missing_identity_is_damage: |folder| fs::remove_file(folder.path().join("identity")).unwrap();
    bit_flip_in_the_identity_is_damage:
        |folder| edit_file(folder, "identity", |bytes| bytes[22] ^= 1);
}

/// Writes while the hook lets the sync with the number `failing_sync` fail, just before or just
/// after it is done. Returns how many writes were acknowledged.
fn write_until_sync_fails(folder: &Path, failing_sync: u64, failing_step: FileStep) -> u64 {
    let count = Arc::new(AtomicU64::new(0));
    let hook = move |point: FilePoint| {
        if point.step == failing_step && count.fetch_add(1, Ordering::Relaxed) == failing_sync {
            return Err(io::Error::other("injected sync failure"));
        }
        Ok(())
    };
    let Ok((mut storage, _)) = Storage::open(folder, "vm-1", DISK, Box::new(hook)) else {
        return 0;
    };
    let writes = [
        append_write(1),
        append_write(2),
        snapshot_write(1),
        append_write(3),
        append_write(4),
    ];
    for (acknowledged, write) in writes.iter().enumerate() {
        if storage.write(write).is_err() {
            assert!(matches!(storage.write(write), Err(StorageError::Closed)));
            return acknowledged as u64;
        }
    }
    writes.len() as u64
}

#[test]
fn a_failure_at_any_sync_loses_no_acknowledged_write() {
    let last_indexes = [0, 1, 2, 2, 3, 4];
    for failing_sync in 0..16 {
        for step in [FileStep::BeforeSync, FileStep::AfterSync] {
            let folder = tempdir().unwrap();
            let path = folder.path().join("data");
            let acknowledged = write_until_sync_fails(&path, failing_sync, step) as usize;
            let (storage, recovered) = open_folder(&path);
            let context = format!("sync {failing_sync}, {step:?}");
            assert_eq!(recovered.damage, None, "{context}");
            assert_eq!(storage.id(), &ReplicaId::new("vm-1", DISK), "{context}");
            let base = recovered.snapshot.map_or(0, |it| it.meta.index.0);
            let last_index = base + recovered.entries.len() as u64;
            let next_index = last_indexes[(acknowledged + 1).min(5)];
            assert!(
                last_index >= last_indexes[acknowledged] && last_index <= next_index,
                "{context}: {last_index}"
            );
            assert!(
                recovered.hard_state.term.0 >= last_indexes[acknowledged],
                "{context}"
            );
        }
    }
}

#[test]
fn a_wiped_folder_gets_a_new_identity() {
    let (folder, _) = folder_with_three_entries();
    fs::remove_dir_all(folder.path()).unwrap();
    let (storage, recovered) =
        Storage::open(folder.path(), "vm-1", DISK + 1, Box::new(|_| Ok(()))).unwrap();
    assert_eq!(storage.id(), &ReplicaId::new("vm-1", DISK + 1));
    assert_eq!(recovered, RecoveredState::default());
}

#[test]
fn an_existing_folder_keeps_its_identity_and_refuses_a_second_user_and_another_name() {
    let (folder, _) = folder_with_three_entries();
    let (storage, _) = Storage::open(folder.path(), "vm-1", 77, Box::new(|_| Ok(()))).unwrap();
    assert_eq!(storage.id().disk, DISK);
    let second = Storage::open(folder.path(), "vm-1", 77, Box::new(|_| Ok(())));
    assert!(matches!(second, Err(StorageError::InUse { .. })));
    drop(storage);
    let other = Storage::open(folder.path(), "vm-2", 77, Box::new(|_| Ok(())));
    assert!(matches!(other, Err(StorageError::WrongName { .. })));
}

#[test]
fn a_cluster_is_founded_once() {
    let folder = tempdir().unwrap();
    let (mut storage, _) = open_folder(folder.path());
    let founded_state = storage.found_cluster().unwrap();
    assert!(matches!(
        storage.found_cluster(),
        Err(StorageError::NotEmpty)
    ));
    drop(storage);
    let (mut storage, recovered) = open_folder(folder.path());
    assert_eq!(recovered, founded_state);
    assert!(matches!(
        storage.found_cluster(),
        Err(StorageError::NotEmpty)
    ));
}

#[test]
fn truncation_replaces_the_tail() {
    let (folder, _) = folder_with_three_entries();
    let (mut storage, _) = open_folder(folder.path());
    storage
        .write(&DiskWrite {
            truncate_from: Some(Index(2)),
            append: vec![entry(2, 5)],
            ..DiskWrite::default()
        })
        .unwrap();
    drop(storage);
    let (_, recovered) = open_folder(folder.path());
    assert_eq!(recovered.entries, [entry(1, 700), entry(2, 5)]);
}

/// `/dev/null` accepts writes but can't be synced, so a write fails there only if it really syncs.
#[cfg(unix)]
#[test]
fn a_snapshot_write_syncs_the_file() {
    let folder = tempdir().unwrap();
    let (mut storage, _) = open_folder(folder.path());
    std::os::unix::fs::symlink("/dev/null", folder.path().join("snapshot.new")).unwrap();
    let error = storage.write(&snapshot_write(1)).unwrap_err();
    let is_sync_error = matches!(error, StorageError::Io { action, .. } if action == "syncing");
    assert!(is_sync_error, "{error}");
}

#[test]
fn a_snapshot_is_synced_before_its_rename_and_the_folder_after_it() {
    let folder = tempdir().unwrap();
    let observed = Arc::new(std::sync::Mutex::new(Vec::new()));
    let (observed_by_hook, path) = (Arc::clone(&observed), folder.path().to_owned());
    let hook = move |point: FilePoint| {
        let is_renamed = path.join("snapshot").exists();
        if point.step != FileStep::BeforeWrite {
            observed_by_hook.lock().unwrap().push((point, is_renamed));
        }
        Ok(())
    };
    let (mut storage, _) = Storage::open(folder.path(), "vm-1", DISK, Box::new(hook)).unwrap();
    observed.lock().unwrap().clear();
    storage.write(&snapshot_write(1)).unwrap();
    let sync_points = |file, is_renamed| {
        let point = |step| FilePoint { file, step };
        [FileStep::BeforeSync, FileStep::AfterSync].map(|step| (point(step), is_renamed))
    };
    let expected = [
        sync_points("snapshot", false),
        sync_points(".", true),
        sync_points("log", true),
        sync_points(".", true),
    ];
    assert_eq!(*observed.lock().unwrap(), expected.concat());
}

/// Opens a folder whose disk is full while `is_full` is set.
fn open_with_full_disk(folder: &Path, is_full: &Arc<AtomicBool>) -> Storage {
    let is_full = Arc::clone(is_full);
    let hook = move |point: FilePoint| {
        if point.step == FileStep::BeforeWrite && is_full.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    };
    Storage::open(folder, "vm-1", DISK, Box::new(hook))
        .unwrap()
        .0
}

/// A full disk takes half a record, again and again, before it has space.
#[test]
fn a_write_to_a_full_disk_can_be_repeated_once_there_is_space() {
    for write in [append_write(2), snapshot_write(1)] {
        let folder = tempdir().unwrap();
        let is_full = Arc::new(AtomicBool::new(false));
        let mut storage = open_with_full_disk(folder.path(), &is_full);
        storage.write(&append_write(1)).unwrap();
        is_full.store(true, Ordering::Relaxed);
        for _ in 0..3 {
            let failure = storage.write(&write).unwrap_err();
            assert!(failure.is_disk_full(), "{failure}");
        }
        is_full.store(false, Ordering::Relaxed);
        storage.write(&write).unwrap();
        storage.write(&append_write(3)).unwrap();
        drop(storage);
        let (_, recovered) = open_folder(folder.path());
        assert_eq!(recovered.damage, None);
        assert_eq!(recovered.entries.last().unwrap().index, Index(3));
    }
}

/// The process is killed while its disk is full.
#[test]
fn what_was_acknowledged_before_the_disk_was_full_survives_a_restart() {
    let folder = tempdir().unwrap();
    let is_full = Arc::new(AtomicBool::new(false));
    let mut storage = open_with_full_disk(folder.path(), &is_full);
    storage.write(&append_write(1)).unwrap();
    is_full.store(true, Ordering::Relaxed);
    storage.write(&snapshot_write(1)).unwrap_err();
    storage.write(&append_write(2)).unwrap_err();
    drop(storage);
    let (_, recovered) = open_folder(folder.path());
    assert_eq!(recovered.damage, None);
    let indices: Vec<Index> = recovered.entries.iter().map(|it| it.index).collect();
    assert_eq!(indices, [Index(1)]);
}

#[test]
fn a_failed_sync_for_lack_of_space_is_final() {
    let folder = tempdir().unwrap();
    let (storage, _) = open_folder(folder.path());
    drop(storage);
    let hook = |point: FilePoint| match (point.file, point.step) {
        ("log", FileStep::BeforeSync) => Err(io::ErrorKind::StorageFull.into()),
        _ => Ok(()),
    };
    let opened = Storage::open(folder.path(), "vm-1", DISK, Box::new(hook));
    assert!(!opened.err().unwrap().is_disk_full());
}
