//! What a follower does with entries and snapshots of the leader.

use super::state::{Incoming, Replica};
use crate::{
    Append, AppendOutcome, AppendReply, Entry, Index, InjectedFault, InstallChunk, InstallReply,
    Message, ReplicaId, Snapshot,
};

impl Replica {
    pub(super) fn follow_append(&mut self, from: ReplicaId, append: Append) {
        let (round, sent_ms) = (append.round, append.sent_ms);
        let is_heartbeat = append.entries.is_empty();
        let outcome = if append.term < self.hard.term {
            AppendOutcome::Conflict(self.log.last_index())
        } else {
            self.hear_leader(&from);
            self.accept_entries(append)
        };
        let mut reply = AppendReply {
            term: self.hard.term,
            outcome,
            round,
            sent_ms,
        };
        if is_heartbeat && self.is_hard_state_synced() {
            reply.outcome = self.limit_to_durable(outcome);
            self.send(from, Message::AppendReply(reply));
        } else {
            self.send_synced(from, Message::AppendReply(reply));
        }
    }

    /// Lets the answer to a heartbeat go out while the disk is busy with earlier entries.
    fn limit_to_durable(&self, outcome: AppendOutcome) -> AppendOutcome {
        match outcome {
            AppendOutcome::Matched(index) => AppendOutcome::Matched(index.min(self.durable)),
            conflict @ AppendOutcome::Conflict(_) => conflict,
        }
    }

    fn is_hard_state_synced(&self) -> bool {
        self.synced_write >= self.hard_write
    }

    fn hear_leader(&mut self, from: &ReplicaId) {
        if self.leader.as_ref() != Some(from) || self.role != super::Role::Follower {
            self.follow(self.hard.term, Some(from.clone()));
        }
        self.heard_leader_at = self.now;
        self.reset_election_timer();
    }

    fn accept_entries(&mut self, append: Append) -> AppendOutcome {
        let verified = Index(append.prev_index.0 + append.entries.len() as u64);
        if verified <= self.log.base() {
            return AppendOutcome::Matched(verified);
        }
        let prev_index = append.prev_index.max(self.log.base());
        let is_known = append.prev_index < self.log.base()
            || self.log.term_at(prev_index) == Some(append.prev_term)
            || self.skips_prev_check(prev_index);
        if !is_known {
            return AppendOutcome::Conflict(self.conflict_hint(prev_index));
        }
        if self.is_fault(InjectedFault::TruncateAlways) && prev_index >= self.commit {
            self.truncate(prev_index.next());
        }
        for entry in append.entries {
            self.accept_entry(entry);
        }
        self.commit = self.commit.max(append.commit.min(verified));
        AppendOutcome::Matched(verified)
    }

    fn skips_prev_check(&self, prev_index: Index) -> bool {
        self.is_fault(InjectedFault::SkipPrevCheck) && prev_index <= self.log.last_index()
    }

    fn conflict_hint(&self, prev_index: Index) -> Index {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let before_run = self.log.first_of_term(prev_index).previous();
        before_run.max(self.commit)
    }

    fn accept_entry(&mut self, entry: Entry) {
        let is_compacted = entry.index <= self.log.base();
        if is_compacted || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.truncate(entry.index);
        }
        self.push_entry(entry);
    }

    fn truncate(&mut self, first: Index) {
        debug_assert!(first > self.commit, "committed entries are never removed");
        self.log.truncate(first);
        self.durable = self.durable.min(first.previous());
        for (_, index) in &mut self.in_flight {
            *index = (*index).min(first.previous());
        }
        self.pending.truncate(first);
    }

    pub(super) fn follow_install(&mut self, from: ReplicaId, chunk: InstallChunk) {
        let mut reply = InstallReply {
            term: self.hard.term,
            index: chunk.meta.index,
            received_bytes: 0,
            installed: false,
            round: chunk.round,
            sent_ms: chunk.sent_ms,
        };
        if chunk.term == self.hard.term {
            self.hear_leader(&from);
            reply.received_bytes = self.accept_chunk(chunk);
            reply.installed = self.commit >= reply.index;
        }
        self.send_synced(from, Message::InstallReply(reply));
    }

    fn accept_chunk(&mut self, chunk: InstallChunk) -> u64 {
        if chunk.meta.index <= self.commit {
            return 0;
        }
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.meta == chunk.meta => incoming,
            _ => Incoming {
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
            self.install(Snapshot {
                meta: incoming.meta,
                data: incoming.data,
            });
        } else {
            self.incoming = Some(incoming);
        }
        received_bytes
    }

    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        let follows = self.log.term_at(index) == Some(snapshot.meta.term);
        self.log.install(snapshot);
        self.commit = index;
        if !follows {
            self.durable = Index::ZERO;
            self.in_flight.clear();
        }
        self.pending.replace_log();
    }
}
