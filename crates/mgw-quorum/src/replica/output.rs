//! What a replica asks its shell to do, and the messages that wait for a sync.

use super::state::{Replica, Role};
use crate::{
    Entry, Envelope, HardState, Index, InjectedFault, Message, QuorumError, ReadToken, ReplicaId,
    Snapshot, Term, WriteId,
};
use mgw_world::Millis;

/// What the shell must do next, in the order of the fields.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Output {
    /// Changes to write and sync in order, then to report with [`Replica::confirm_synced`]. The
    /// messages below don't depend on them and can be sent meanwhile.
    pub disk_write: Option<DiskWrite>,
    /// Messages to send. They may be lost, duplicated, delayed or reordered.
    pub messages: Vec<Envelope>,
    /// Snapshot that replaces the state of the replicated state machine before `committed` is
    /// applied.
    pub install_snapshot: Option<Snapshot>,
    /// Committed entries to apply in order. Each is handed out once after a start.
    pub committed: Vec<Entry>,
    /// Linearizable reads that may be answered once `committed` is applied.
    pub ready_reads: Vec<ReadyRead>,
    /// Linearizable reads that can't be answered, because this replica lost leadership.
    pub failed_reads: Vec<ReadToken>,
    /// Set when the role, the term or the known leader has changed since the last output.
    pub role_change: Option<RoleChange>,
}

/// One write to the data folder, which one sync of the log makes durable.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DiskWrite {
    /// Number to pass to [`Replica::confirm_synced`].
    pub id: WriteId,
    /// New term and vote, when they changed.
    pub hard_state: Option<HardState>,
    /// Entries from this index on are removed before `append` is written.
    pub truncate_from: Option<Index>,
    /// Entries to append. With `snapshot`, all entries that follow it.
    pub append: Vec<Entry>,
    /// Snapshot that, with `append`, replaces the snapshot file and the whole log.
    pub snapshot: Option<Snapshot>,
}

/// A linearizable read that may be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyRead {
    /// Token that the shell passed to [`Replica::request_read`].
    pub token: ReadToken,
    /// The answer must reflect all entries up to this index.
    pub index: Index,
}

/// Role, term and leader after a change of one of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// New role.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<ReplicaId>,
}

/// A message that is sent once a write is synced.
#[derive(Debug)]
pub(super) struct DeferredMessage {
    write_id: WriteId,
    envelope: Envelope,
}

/// Changes since the last write that must go to the disk.
#[derive(Debug, Default)]
pub(super) struct PendingWrite {
    /// Whether the term or the vote changed.
    pub(super) has_hard_state: bool,
    truncate_from: Option<Index>,
    append: Vec<Entry>,
    /// Whether the snapshot changed, so that snapshot and log must be written as a whole.
    replaces_log: bool,
}

impl PendingWrite {
    const fn is_empty(&self) -> bool {
        let is_log_unchanged = self.truncate_from.is_none() && self.append.is_empty();
        !self.has_hard_state && !self.replaces_log && is_log_unchanged
    }

    pub(super) fn truncate(&mut self, first_index: Index) {
        self.append.retain(|entry| entry.index < first_index);
        self.truncate_from = Some(
            self.truncate_from
                .map_or(first_index, |it| it.min(first_index)),
        );
    }

    pub(super) const fn replace_log(&mut self) {
        self.replaces_log = true;
    }
}

impl Replica {
    /// Returns what the shell must do, and clears it.
    pub fn take_output(&mut self) -> Output {
        self.replicate();
        let disk_write = self.take_write();
        self.collect_output(disk_write)
    }

    /// As [`Self::take_output`], but without a disk write, for a shell that still syncs the
    /// previous one. Changes accumulate for the next [`Self::take_output`], while heartbeats and
    /// newly committed entries don't wait for the disk.
    pub fn take_output_without_write(&mut self) -> Output {
        self.replicate();
        self.collect_output(None)
    }

    fn collect_output(&mut self, disk_write: Option<DiskWrite>) -> Output {
        self.release_deferred_messages();
        let install_snapshot = self.take_install_snapshot();
        let committed = self.take_committed();
        self.release_reads();
        Output {
            disk_write,
            messages: std::mem::take(&mut self.outbox),
            install_snapshot,
            committed,
            ready_reads: std::mem::take(&mut self.read_outcomes.ready),
            failed_reads: std::mem::take(&mut self.read_outcomes.failed),
            role_change: self.take_role_change(),
        }
    }

    /// Replaces the log up to `index` by a snapshot: the state that the replicated state machine
    /// had after it applied the entry at `index`.
    ///
    /// # Errors
    ///
    /// Fails when the entry at `index` wasn't handed out as committed or is compacted already.
    pub fn compact(&mut self, index: Index, data: Vec<u8>, now: Millis) -> Result<(), QuorumError> {
        self.advance_clock(now);
        let is_valid = index > self.log.snapshot_index() && index <= self.applied_index;
        if !is_valid || self.log.compact(index, data).is_none() {
            return Err(QuorumError::BadSnapshotIndex { index });
        }
        self.pending_write.replace_log();
        Ok(())
    }

    /// Appends an entry to the log in memory and to the pending write.
    pub(super) fn push_entry(&mut self, entry: Entry) {
        self.pending_write.append.push(entry.clone());
        self.log.push(entry);
        if self.has_injected_fault(InjectedFault::AckBeforeSync) {
            self.durable_index = self.log.last_index();
        }
    }

    /// Number of the write whose sync makes the current state durable.
    pub(super) const fn current_state_write_id(&self) -> WriteId {
        if self.pending_write.is_empty() {
            self.last_write_id
        } else {
            self.last_write_id.next()
        }
    }

    /// Sends a message that doesn't depend on unsynced state.
    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        let from = self.id.clone();
        self.outbox.push(Envelope { from, to, message });
    }

    /// Sends a message once the current state, on which it depends, is synced.
    pub(super) fn send_after_sync(&mut self, to: ReplicaId, message: Message) {
        if self.has_injected_fault(InjectedFault::AckBeforeSync) {
            self.send(to, message);
            return;
        }
        let from = self.id.clone();
        self.deferred_messages.push_back(DeferredMessage {
            write_id: self.current_state_write_id(),
            envelope: Envelope { from, to, message },
        });
    }

    fn release_deferred_messages(&mut self) {
        while let Some(deferred) = self.deferred_messages.pop_front() {
            if deferred.write_id > self.synced_write_id {
                self.deferred_messages.push_front(deferred);
                return;
            }
            self.outbox.push(deferred.envelope);
        }
    }

    /// Turns the pending changes into a disk write. None if there are none.
    fn take_write(&mut self) -> Option<DiskWrite> {
        if self.pending_write.is_empty() {
            return None;
        }
        let pending = std::mem::take(&mut self.pending_write);
        self.last_write_id = self.last_write_id.next();
        self.in_flight_writes
            .push_back((self.last_write_id, self.log.last_index()));
        let mut write = DiskWrite {
            id: self.last_write_id,
            ..DiskWrite::default()
        };
        if pending.has_hard_state || pending.replaces_log {
            write.hard_state = Some(self.hard_state.clone());
        }
        if pending.replaces_log {
            write.snapshot = Some(self.log.snapshot().clone());
            write.append = self.log.entries().to_vec();
        } else {
            write.truncate_from = pending.truncate_from;
            write.append = pending.append;
        }
        Some(write)
    }

    fn take_install_snapshot(&mut self) -> Option<Snapshot> {
        let snapshot_index = self.log.snapshot_index();
        let is_due = self.applied_index < snapshot_index && self.durable_index >= snapshot_index;
        if !is_due {
            return None;
        }
        self.applied_index = snapshot_index;
        Some(self.log.snapshot().clone())
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        if self.applied_index < self.log.snapshot_index() {
            return Vec::new();
        }
        let last_index = self.commit_index.min(self.durable_index);
        let first_index = self.applied_index.next();
        let entries = self.log.range(first_index, last_index, usize::MAX).to_vec();
        self.applied_index = self.applied_index.max(last_index);
        entries
    }

    fn take_role_change(&mut self) -> Option<RoleChange> {
        let current = RoleChange {
            role: self.role(),
            term: self.hard_state.term,
            leader: self.leader.clone(),
        };
        if self.last_role_change.as_ref() == Some(&current) {
            return None;
        }
        self.last_role_change = Some(current.clone());
        Some(current)
    }
}
