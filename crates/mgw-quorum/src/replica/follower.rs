//! Handling of entries and snapshots that a follower receives from the leader.

use super::state::{IncomingSnapshot, Replica};
use crate::{
    AppendEntries, AppendEntriesReply, AppendOutcome, Entry, Index, InjectedFault, InstallSnapshot,
    InstallSnapshotReply, Message, ReplicaId, Snapshot,
};

impl Replica {
    pub(super) fn handle_append(&mut self, from: ReplicaId, append: AppendEntries) {
        let (round, sent_ms) = (append.round, append.sent_ms);
        let is_heartbeat = append.entries.is_empty();
        let outcome = if append.term < self.hard_state.term {
            AppendOutcome::Conflict(self.log.last_index())
        } else {
            self.record_leader_contact(&from);
            self.accept_entries(append)
        };
        let mut reply = AppendEntriesReply {
            term: self.hard_state.term,
            outcome,
            round,
            sent_ms,
        };
        if is_heartbeat && self.is_hard_state_synced() {
            reply.outcome = self.limit_to_durable(outcome);
            self.send(from, Message::AppendReply(reply));
        } else {
            self.send_after_sync(from, Message::AppendReply(reply));
        }
    }

    /// Limits a match to the synced entries, so that the answer to a heartbeat needn't wait while
    /// the disk still syncs earlier entries.
    fn limit_to_durable(&self, outcome: AppendOutcome) -> AppendOutcome {
        match outcome {
            AppendOutcome::Matched(index) => AppendOutcome::Matched(index.min(self.durable_index)),
            conflict @ AppendOutcome::Conflict(_) => conflict,
        }
    }

    fn is_hard_state_synced(&self) -> bool {
        self.synced_write_id >= self.hard_state_write_id
    }

    /// Follows the sender as the leader of this term and restarts the election timeout.
    fn record_leader_contact(&mut self, from: &ReplicaId) {
        if self.leader.as_ref() != Some(from) || self.role != super::Role::Follower {
            self.become_follower(self.hard_state.term, Some(from.clone()));
        }
        self.last_leader_contact_at = self.now;
        self.reset_election_timer();
    }

    /// Appends the entries that are missing and removes those that conflict with them, if the log
    /// holds the entry before them.
    fn accept_entries(&mut self, append: AppendEntries) -> AppendOutcome {
        let match_index = Index(append.prev_index.0 + append.entries.len() as u64);
        if match_index <= self.log.snapshot_index() {
            return AppendOutcome::Matched(match_index);
        }
        let prev_index = append.prev_index.max(self.log.snapshot_index());
        let is_prev_matched = append.prev_index < self.log.snapshot_index()
            || self.log.term_at(prev_index) == Some(append.prev_term)
            || self.skips_prev_check(prev_index);
        if !is_prev_matched {
            return AppendOutcome::Conflict(self.conflict_index(prev_index));
        }
        if self.has_injected_fault(InjectedFault::TruncateAlways) && prev_index >= self.commit_index
        {
            self.truncate(prev_index.next());
        }
        for entry in append.entries {
            self.accept_entry(entry);
        }
        self.commit_index = self.commit_index.max(append.commit.min(match_index));
        AppendOutcome::Matched(match_index)
    }

    fn skips_prev_check(&self, prev_index: Index) -> bool {
        self.has_injected_fault(InjectedFault::SkipPrevCheck) && prev_index <= self.log.last_index()
    }

    /// Index after which the leader should resend, when the entry at `prev_index` is missing or has
    /// another term. Skips the whole conflicting term at once.
    fn conflict_index(&self, prev_index: Index) -> Index {
        let last_index = self.log.last_index();
        if prev_index > last_index {
            return last_index;
        }
        let before_term = self.log.first_index_of_term(prev_index).previous();
        before_term.max(self.commit_index)
    }

    fn accept_entry(&mut self, entry: Entry) {
        let is_compacted = entry.index <= self.log.snapshot_index();
        if is_compacted || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.truncate(entry.index);
        }
        self.push_entry(entry);
    }

    /// Removes the entry at `first_index` and all entries after it.
    fn truncate(&mut self, first_index: Index) {
        debug_assert!(
            first_index > self.commit_index,
            "committed entries are never removed"
        );
        self.log.truncate(first_index);
        self.durable_index = self.durable_index.min(first_index.previous());
        for (_, index) in &mut self.in_flight_writes {
            *index = (*index).min(first_index.previous());
        }
        self.pending_write.truncate(first_index);
    }

    pub(super) fn handle_install(&mut self, from: ReplicaId, install: InstallSnapshot) {
        let mut reply = InstallSnapshotReply {
            term: self.hard_state.term,
            index: install.meta.index,
            received_bytes: 0,
            installed: false,
            round: install.round,
            sent_ms: install.sent_ms,
        };
        if install.term == self.hard_state.term {
            self.record_leader_contact(&from);
            reply.received_bytes = self.accept_chunk(install);
            reply.installed = self.commit_index >= reply.index;
        }
        self.send_after_sync(from, Message::InstallReply(reply));
    }

    /// Adds a chunk to the incoming snapshot and installs the snapshot if it is complete. Returns
    /// the number of bytes received of it.
    fn accept_chunk(&mut self, chunk: InstallSnapshot) -> u64 {
        if chunk.meta.index <= self.commit_index {
            return 0;
        }
        let mut incoming = match self.incoming_snapshot.take() {
            Some(incoming) if incoming.meta == chunk.meta => incoming,
            _ => IncomingSnapshot {
                meta: chunk.meta,
                data: Vec::new(),
            },
        };
        let is_next = chunk.offset_bytes == incoming.data.len() as u64;
        if is_next {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received_bytes = incoming.data.len() as u64;
        if is_next && chunk.done {
            self.install_snapshot(Snapshot {
                meta: incoming.meta,
                data: incoming.data,
            });
        } else {
            self.incoming_snapshot = Some(incoming);
        }
        received_bytes
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        let has_last_entry = self.log.term_at(index) == Some(snapshot.meta.term);
        self.log.install_snapshot(snapshot);
        self.commit_index = index;
        if !has_last_entry {
            self.durable_index = Index::ZERO;
            self.in_flight_writes.clear();
        }
        self.pending_write.replace_log();
    }
}
