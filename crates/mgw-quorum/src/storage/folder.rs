//! The data folder of a replica: opened once, then written batch by batch.

use super::StorageError;
use super::files::{FileHook, Files, io_error};
use super::frame::{encode_frame, scan_frames};
use super::recover::{Base, Batch, FilesState, LOG, SNAPSHOT, read_state};
use crate::{Damage, DiskWrite, HardState, Membership, RecoveredState, ReplicaId, Snapshot};
use std::fs::{File, TryLockError};
use std::path::Path;

const IDENTITY: &str = "identity";
const LOCK: &str = "lock";

/// Durable state of one replica in its data folder. Its calls block, so run them on a dedicated
/// thread.
///
/// ```no_run
/// # use mgw_quorum::Storage;
/// # use std::path::Path;
/// let hook = Box::new(|_| Ok(()));
/// let (mut storage, recovered) = Storage::open(Path::new("data"), "vm-1", 0x51f0, hook)?;
/// # Ok::<(), mgw_quorum::StorageError>(())
/// ```
pub struct Storage {
    files: Files,
    id: ReplicaId,
    log: Option<File>,
    /// Length of the log up to the end of the last synced record.
    log_bytes: u64,
    /// Whether a failed append may have left a part of a record behind `log_bytes`.
    has_partial_record: bool,
    next_sequence: u64,
    hard_state: HardState,
    is_empty: bool,
    /// Kept open, because closing the file releases the lock.
    _lock: File,
}

impl Storage {
    /// Opens the data folder, or creates it with the identity `name` and `disk`.
    ///
    /// The shell draws `disk` at random. It is used only when the folder has no identity yet.
    /// Damage is reported in [`RecoveredState::damage`]; a damaged folder accepts no writes.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be read or synced, is in use by another process, or belongs to a
    /// replica with another name.
    pub fn open(
        folder: &Path,
        name: &str,
        disk: u64,
        hook: FileHook,
    ) -> Result<(Self, RecoveredState), StorageError> {
        let mut files = Files::new(folder.to_owned(), hook);
        files.create_folder()?;
        let lock = acquire_lock(&files)?;
        let identity = files.read(IDENTITY)?;
        let mut storage = Self {
            files,
            id: ReplicaId::new(name, disk),
            log: None,
            log_bytes: 0,
            has_partial_record: false,
            next_sequence: 0,
            hard_state: HardState::default(),
            is_empty: false,
            _lock: lock,
        };
        let recovered = match identity {
            Some(bytes) => storage.open_existing(&bytes)?,
            None => storage.create()?,
        };
        Ok((storage, recovered))
    }

    /// Identity of the replica that owns the folder.
    #[must_use]
    pub const fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Number of syncs since the folder was opened.
    #[must_use]
    pub const fn sync_count(&self) -> u64 {
        self.files.sync_count()
    }

    /// Founds a cluster whose only voter is this replica. Other replicas join as learners.
    ///
    /// # Errors
    ///
    /// Fails when the folder already holds a log or can't be synced.
    pub fn found_cluster(&mut self) -> Result<RecoveredState, StorageError> {
        self.found_cluster_with([self.id.clone()])
    }

    /// Founds a cluster of several voters, each of which must be given the same list. The caller
    /// makes sure that each identity founds a cluster at most once: a voter that has lost its disk
    /// must not do so again.
    ///
    /// # Errors
    ///
    /// Fails when the folder already holds a log or can't be synced.
    pub fn found_cluster_with(
        &mut self,
        voters: impl IntoIterator<Item = ReplicaId>,
    ) -> Result<RecoveredState, StorageError> {
        if !self.is_empty {
            return Err(StorageError::NotEmpty);
        }
        let snapshot = Snapshot::founding(Membership::of_voters(voters));
        let hard_state = HardState {
            term: snapshot.meta.term,
            voted_for: None,
        };
        self.write(&DiskWrite {
            hard_state: Some(hard_state.clone()),
            snapshot: Some(snapshot.clone()),
            ..DiskWrite::default()
        })?;
        Ok(RecoveredState {
            hard_state,
            snapshot: Some(snapshot),
            ..RecoveredState::default()
        })
    }

    /// Writes and syncs the changes of an output. On success the shell calls
    /// [`crate::Replica::confirm_synced`].
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be written or synced. After an error for which
    /// [`StorageError::is_disk_full`] holds, the same write may be tried again. After any other
    /// error the folder accepts no more writes and the process must exit.
    pub fn write(&mut self, write: &DiskWrite) -> Result<(), StorageError> {
        let Some(mut log) = self.log.take() else {
            return Err(StorageError::Closed);
        };
        if let Some(hard_state) = &write.hard_state {
            self.hard_state = hard_state.clone();
        }
        self.is_empty = false;
        let written = match &write.snapshot {
            Some(snapshot) => self.replace_snapshot_and_log(snapshot, write).map(Some),
            None => self.append(&mut log, write).map(|()| None),
        };
        match written {
            Ok(new_log) => {
                self.log = Some(new_log.unwrap_or(log));
                Ok(())
            }
            Err(failure) => {
                if failure.is_disk_full() {
                    self.has_partial_record = true;
                    self.log = Some(log);
                }
                Err(failure)
            }
        }
    }

    fn append(&mut self, log: &mut File, write: &DiskWrite) -> Result<(), StorageError> {
        let batch = Batch {
            base: None,
            hard_state: write.hard_state.clone(),
            truncate_from: write.truncate_from,
            entries: write.append.clone(),
        };
        let bytes = encode_frame(self.next_sequence, &batch)?;
        if self.has_partial_record {
            self.files.remove_tail(log, LOG, self.log_bytes)?;
            self.has_partial_record = false;
        }
        self.files.append(log, LOG, &bytes)?;
        self.next_sequence += 1;
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    fn replace_snapshot_and_log(
        &mut self,
        snapshot: &Snapshot,
        write: &DiskWrite,
    ) -> Result<File, StorageError> {
        let bytes = encode_frame(0, snapshot)?;
        self.files.replace(SNAPSHOT, &bytes)?;
        let base = Base {
            index: snapshot.meta.index,
            term: snapshot.meta.term,
        };
        self.replace_log(&Batch {
            base: Some(base),
            hard_state: Some(self.hard_state.clone()),
            truncate_from: None,
            entries: write.append.clone(),
        })
    }

    fn replace_log(&mut self, first_batch: &Batch) -> Result<File, StorageError> {
        let bytes = encode_frame(0, first_batch)?;
        self.files.replace(LOG, &bytes)?;
        self.has_partial_record = false;
        self.next_sequence = 1;
        self.log_bytes = bytes.len() as u64;
        self.files.open_append(LOG)
    }

    /// Creates the log and then the identity, so that a folder with an identity has a log too.
    fn create(&mut self) -> Result<RecoveredState, StorageError> {
        let has_snapshot = self.files.read(SNAPSHOT)?.is_some();
        let log = self.files.read(LOG)?;
        let has_later_frames = log.is_some_and(|bytes| !is_first_frame_only(&bytes));
        if has_snapshot || has_later_frames {
            return Ok(damaged_state(super::frame::damage_at(
                IDENTITY,
                0,
                "the file is missing although a log or snapshot exists",
            )));
        }
        let log = self.replace_log(&Batch {
            base: Some(Base::default()),
            ..Batch::default()
        })?;
        let bytes = encode_frame(0, &self.id)?;
        self.files.replace(IDENTITY, &bytes)?;
        self.log = Some(log);
        self.is_empty = true;
        Ok(RecoveredState::default())
    }

    fn open_existing(&mut self, identity: &[u8]) -> Result<RecoveredState, StorageError> {
        let name = std::mem::take(&mut self.id.name);
        self.id = match read_identity(identity) {
            Ok(id) => id,
            Err(damage) => {
                self.id.name = name;
                return Ok(damaged_state(damage));
            }
        };
        if self.id.name != name {
            return Err(StorageError::WrongName {
                path: self.files.path(IDENTITY),
                found: self.id.name.clone(),
                wanted: name,
            });
        }
        let log = self.files.read(LOG)?;
        let snapshot = self.files.read(SNAPSHOT)?;
        match read_state(log.as_deref(), snapshot.as_deref()) {
            Ok(state) => self.repair_log(state),
            Err(damage) => Ok(damaged_state(damage)),
        }
    }

    /// Makes the log file ready for appends after a crash: rewrites it if it doesn't follow the
    /// snapshot, else removes its torn tail.
    fn repair_log(&mut self, state: FilesState) -> Result<RecoveredState, StorageError> {
        let recovered = state.recovered;
        self.hard_state = recovered.hard_state.clone();
        self.next_sequence = state.next_sequence;
        let log = if let (true, Some(snapshot)) = (state.is_log_outdated, &recovered.snapshot) {
            self.replace_log(&Batch {
                base: Some(Base {
                    index: snapshot.meta.index,
                    term: snapshot.meta.term,
                }),
                hard_state: Some(recovered.hard_state.clone()),
                truncate_from: None,
                entries: recovered.entries.clone(),
            })?
        } else {
            let log = self.files.open_append(LOG)?;
            self.log_bytes = state.valid_bytes as u64;
            self.files.truncate(&log, LOG, self.log_bytes)?;
            log
        };
        self.log = Some(log);
        self.is_empty = recovered == RecoveredState::default();
        Ok(recovered)
    }
}

fn acquire_lock(files: &Files) -> Result<File, StorageError> {
    let path = files.path(LOCK);
    let file = File::create(&path).map_err(|source| io_error("creating", &path, source))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StorageError::InUse { path }),
        Err(TryLockError::Error(source)) => Err(io_error("locking", &path, source)),
    }
}

fn read_identity(bytes: &[u8]) -> Result<ReplicaId, Damage> {
    let scan = scan_frames::<ReplicaId>(IDENTITY, bytes)?;
    let is_whole = scan.valid_bytes == bytes.len();
    scan.records
        .into_iter()
        .next()
        .filter(|_| is_whole)
        .ok_or_else(|| super::frame::damage_at(IDENTITY, 0, "the file is empty or too long"))
}

fn is_first_frame_only(bytes: &[u8]) -> bool {
    scan_frames::<Batch>(LOG, bytes).is_ok_and(|scan| scan.records.len() <= 1)
}

const fn damaged_state(damage: Damage) -> RecoveredState {
    RecoveredState {
        hard_state: HardState {
            term: crate::Term::ZERO,
            voted_for: None,
        },
        snapshot: None,
        entries: Vec::new(),
        damage: Some(damage),
    }
}
