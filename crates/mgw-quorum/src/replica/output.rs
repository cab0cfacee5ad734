//! What a replica asks its shell to do, and which messages wait for a sync.

use super::state::{Replica, Role};
use crate::{
    Entry, Envelope, HardState, Index, InjectedFault, Message, QuorumError, ReadToken, ReplicaId,
    Snapshot, Term, WriteId,
};
use mgw_world::Millis;

/// What the shell does next, in the order of the fields.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Output {
    /// To be written and synced in order, then reported with [`Replica::confirm_synced`]. The messages
    /// below don't depend on it and can be sent meanwhile.
    pub disk_write: Option<DiskWrite>,
    /// To be sent. May be lost, doubled, delayed or reordered.
    pub messages: Vec<Envelope>,
    /// Replaces the state of the upper layer before `committed` is applied.
    pub install_snapshot: Option<Snapshot>,
    /// Committed entries to be applied in order, each handed out once after a start.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once `committed` is applied.
    pub ready_reads: Vec<ReadyRead>,
    /// Reads that can't be answered because leadership was lost.
    pub failed_reads: Vec<ReadToken>,
    /// Set when the role, the term or the known leader changed.
    pub role_change: Option<RoleChange>,
}

/// One write to the data folder, made durable by one sync of the log.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DiskWrite {
    /// Number to report with [`Replica::confirm_synced`].
    pub id: WriteId,
    /// Term and vote, when they changed.
    pub hard_state: Option<HardState>,
    /// Entries from this index on are dropped before the others are appended.
    pub truncate_from: Option<Index>,
    /// Entries to append, or with `snapshot` all entries after it.
    pub append: Vec<Entry>,
    /// Replaces the snapshot file and the whole log.
    pub snapshot: Option<Snapshot>,
}

/// A linearizable read that may be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyRead {
    /// Token of the read.
    pub token: ReadToken,
    /// Index that the answer includes at least.
    pub index: Index,
}

/// Role, term and leader after a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// New role.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<ReplicaId>,
}

/// A message that waits for a write to be synced.
#[derive(Debug)]
pub(super) struct Held {
    write: WriteId,
    envelope: Envelope,
}

/// Changes since the last output that belong on disk.
#[derive(Debug, Default)]
pub(super) struct Pending {
    pub(super) hard_state: bool,
    truncate_from: Option<Index>,
    append: Vec<Entry>,
    replace_log: bool,
}

impl Pending {
    const fn is_empty(&self) -> bool {
        let is_log_same = self.truncate_from.is_none() && self.append.is_empty();
        !self.hard_state && !self.replace_log && is_log_same
    }

    pub(super) fn truncate(&mut self, first: Index) {
        self.append.retain(|entry| entry.index < first);
        self.truncate_from = Some(self.truncate_from.map_or(first, |it| it.min(first)));
    }

    pub(super) const fn replace_log(&mut self) {
        self.replace_log = true;
    }
}

impl Replica {
    /// Takes what there is to do since the last call.
    pub fn take_output(&mut self) -> Output {
        self.replicate();
        let disk_write = self.take_write();
        self.collect_output(disk_write)
    }

    /// Takes what there is to do beside a new write, for a shell whose disk is busy: what has to
    /// be written gathers for the next [`Self::take_output`], while heartbeats and what was
    /// committed meanwhile don't wait for the disk.
    pub fn take_output_without_write(&mut self) -> Output {
        self.replicate();
        self.collect_output(None)
    }

    fn collect_output(&mut self, disk_write: Option<DiskWrite>) -> Output {
        self.release_held();
        let install_snapshot = self.take_install();
        let committed = self.take_committed();
        self.release_reads();
        Output {
            disk_write,
            messages: std::mem::take(&mut self.outbox),
            install_snapshot,
            committed,
            ready_reads: std::mem::take(&mut self.reads.ready),
            failed_reads: std::mem::take(&mut self.reads.failed),
            role_change: self.take_role_change(),
        }
    }

    /// Replaces the log up to `index` by the state that the upper layer had after applying it.
    ///
    /// # Errors
    ///
    /// Refuses an index that wasn't handed out as committed or is compacted already.
    pub fn compact(&mut self, index: Index, data: Vec<u8>, now: Millis) -> Result<(), QuorumError> {
        self.advance(now);
        let is_open = index > self.log.base() && index <= self.applied;
        if !is_open || self.log.compact(index, data).is_none() {
            return Err(QuorumError::BadSnapshotIndex { index });
        }
        self.pending.replace_log();
        Ok(())
    }

    pub(super) fn push_entry(&mut self, entry: Entry) {
        self.pending.append.push(entry.clone());
        self.log.push(entry);
        if self.is_fault(InjectedFault::AckBeforeSync) {
            self.durable = self.log.last_index();
        }
    }

    /// The write that holds the newest state once it is synced.
    pub(super) const fn current_write(&self) -> WriteId {
        if self.pending.is_empty() {
            self.last_write
        } else {
            self.last_write.next()
        }
    }

    /// Sends a message that promises nothing.
    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        let from = self.id.clone();
        self.outbox.push(Envelope { from, to, message });
    }

    /// Sends a message once the state that it tells of is synced.
    pub(super) fn send_synced(&mut self, to: ReplicaId, message: Message) {
        if self.is_fault(InjectedFault::AckBeforeSync) {
            self.send(to, message);
            return;
        }
        let from = self.id.clone();
        self.held.push_back(Held {
            write: self.current_write(),
            envelope: Envelope { from, to, message },
        });
    }

    fn release_held(&mut self) {
        while let Some(held) = self.held.pop_front() {
            if held.write > self.synced_write {
                self.held.push_front(held);
                return;
            }
            self.outbox.push(held.envelope);
        }
    }

    fn take_write(&mut self) -> Option<DiskWrite> {
        if self.pending.is_empty() {
            return None;
        }
        let pending = std::mem::take(&mut self.pending);
        self.last_write = self.last_write.next();
        self.in_flight
            .push_back((self.last_write, self.log.last_index()));
        let mut write = DiskWrite {
            id: self.last_write,
            ..DiskWrite::default()
        };
        if pending.hard_state || pending.replace_log {
            write.hard_state = Some(self.hard.clone());
        }
        if pending.replace_log {
            write.snapshot = Some(self.log.snapshot().clone());
            write.append = self.log.entries().to_vec();
        } else {
            write.truncate_from = pending.truncate_from;
            write.append = pending.append;
        }
        Some(write)
    }

    fn take_install(&mut self) -> Option<Snapshot> {
        let base = self.log.base();
        let is_due = self.applied < base && self.durable >= base;
        if !is_due {
            return None;
        }
        self.applied = base;
        Some(self.log.snapshot().clone())
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        if self.applied < self.log.base() {
            return Vec::new();
        }
        let last = self.commit.min(self.durable);
        let first = self.applied.next();
        let entries = self.log.range(first, last, usize::MAX).to_vec();
        self.applied = self.applied.max(last);
        entries
    }

    fn take_role_change(&mut self) -> Option<RoleChange> {
        let current = RoleChange {
            role: self.role(),
            term: self.hard.term,
            leader: self.leader.clone(),
        };
        if self.reported.as_ref() == Some(&current) {
            return None;
        }
        self.reported = Some(current.clone());
        Some(current)
    }
}
