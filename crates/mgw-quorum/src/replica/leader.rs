//! Tasks of a leader: replication, the commit index, heartbeats and the check for a quorum.

use super::reads::PendingRead;
use super::state::Replica;
use crate::{
    AppendEntries, AppendEntriesReply, AppendOutcome, Entry, Index, InjectedFault, InstallSnapshot,
    InstallSnapshotReply, Message, Payload, QuorumError, ReplicaId, Round,
};
use mgw_world::Millis;
use std::collections::BTreeMap;

/// State that a replica keeps while it leads.
#[derive(Debug)]
pub(super) struct Leadership {
    /// Time at which this replica won the election.
    pub(super) elected_at: Millis,
    /// Index of the no-op entry that this leader appended at the start of its term.
    pub(super) term_start_index: Index,
    /// Replication progress of each other member.
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// Newest heartbeat round.
    pub(super) round: Round,
    /// Set to start a heartbeat round before `heartbeat_at`.
    pub(super) is_round_due: bool,
    pub(super) heartbeat_at: Millis,
    pub(super) pending_reads: Vec<PendingRead>,
    pub(super) transfer: Option<Transfer>,
}

/// Replication progress of another member, as the leader knows it.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress {
    /// Last entry that the member is known to have synced.
    pub(super) match_index: Index,
    /// Next entry to send to the member.
    pub(super) next_index: Index,
    pub(super) acked_round: Round,
    /// Clock of this leader when it sent the newest message that the member has answered.
    pub(super) acked_sent_ms: Option<Millis>,
    /// Set while a snapshot is being sent to the member.
    pub(super) snapshot: Option<SnapshotProgress>,
}

/// How much of a snapshot a member has received.
#[derive(Debug, Clone, Copy)]
pub(super) struct SnapshotProgress {
    pub(super) index: Index,
    pub(super) offset_bytes: u64,
}

/// A leadership transfer under way.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) target: ReplicaId,
    pub(super) deadline_ms: Millis,
    /// Whether the target was told to start an election.
    pub(super) is_timeout_now_sent: bool,
}

impl Leadership {
    pub(super) const fn new(now: Millis, term_start_index: Index) -> Self {
        Self {
            elected_at: now,
            term_start_index,
            progress: BTreeMap::new(),
            round: Round::ZERO,
            is_round_due: true,
            heartbeat_at: now,
            pending_reads: Vec::new(),
            transfer: None,
        }
    }

    /// Whether a leadership transfer may already have elected another leader, so that this leader
    /// has no lease any more.
    pub(super) fn may_have_successor(&self) -> bool {
        self.transfer
            .as_ref()
            .is_some_and(|it| it.is_timeout_now_sent)
    }
}

impl Replica {
    /// Checks that this replica leads and isn't transferring leadership.
    pub(super) fn check_accepts_requests(&self) -> Result<(), QuorumError> {
        let Some(leadership) = &self.leadership else {
            return Err(QuorumError::NotLeader {
                leader: self.leader.clone(),
            });
        };
        match &leadership.transfer {
            Some(transfer) => Err(QuorumError::Transferring {
                target: transfer.target.clone(),
            }),
            None => Ok(()),
        }
    }

    /// Appends an entry of the current term and returns its index.
    pub(super) fn append_new_entry(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index().next();
        self.push_entry(Entry {
            term: self.hard_state.term,
            index,
            payload,
        });
        index
    }

    /// Adjusts the set of members whose progress is tracked to a changed membership.
    pub(super) fn update_tracked_members(&mut self) {
        let membership = self.log.membership().clone();
        let next_index = self.log.last_index().next();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.progress.retain(|id, _| membership.is_member(id));
        for id in membership.voters.iter().chain(&membership.learners) {
            if *id == self.id || leadership.progress.contains_key(id) {
                continue;
            }
            let progress = Progress {
                next_index,
                ..Progress::default()
            };
            leadership.progress.insert(id.clone(), progress);
        }
        leadership.is_round_due = true;
    }

    /// Sends what is due: a heartbeat round to all members, else entries to the members that lack
    /// them.
    pub(super) fn replicate(&mut self) {
        let (now, heartbeat_ms) = (self.now, self.settings.heartbeat_ms);
        let last_index = self.log.last_index();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let starts_round = leadership.is_round_due || now >= leadership.heartbeat_at;
        if starts_round {
            leadership.round = leadership.round.next();
            leadership.is_round_due = false;
            leadership.heartbeat_at = now + heartbeat_ms;
        }
        let lacks_entries =
            |progress: &Progress| progress.next_index <= last_index && progress.snapshot.is_none();
        let receivers: Vec<ReplicaId> = leadership
            .progress
            .iter()
            .filter(|(_, progress)| starts_round || lacks_entries(progress))
            .map(|(id, _)| id.clone())
            .collect();
        for id in receivers {
            self.replicate_to(&id);
        }
    }

    /// Sends the next entries to a member, or the next snapshot chunk if the log no longer holds
    /// the entry at the member's next index.
    fn replicate_to(&mut self, id: &ReplicaId) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(id) else {
            return;
        };
        let message = if progress.next_index > self.log.snapshot_index() {
            let first_index = progress.next_index;
            let last_index = self.log.last_index();
            let entries = self
                .log
                .range(first_index, last_index, self.settings.append_entries_max)
                .to_vec();
            progress.snapshot = None;
            progress.next_index = Index(first_index.0 + entries.len() as u64);
            Message::Append(AppendEntries {
                term: self.hard_state.term,
                prev_index: first_index.previous(),
                prev_term: self.log.term_at(first_index.previous()).unwrap_or_default(),
                entries,
                commit: self.commit_index,
                round,
                sent_ms: self.now,
            })
        } else {
            Message::Install(self.next_chunk(id, round))
        };
        self.send(id.clone(), message);
    }

    fn next_chunk(&mut self, id: &ReplicaId, round: Round) -> InstallSnapshot {
        let snapshot = self.log.snapshot();
        let index = snapshot.meta.index;
        let progress = self
            .leadership
            .as_mut()
            .and_then(|leadership| leadership.progress.get_mut(id));
        let mut offset_bytes = 0;
        if let Some(progress) = progress {
            let snapshot_progress = match progress.snapshot {
                Some(current) if current.index == index => current,
                _ => SnapshotProgress {
                    index,
                    offset_bytes: 0,
                },
            };
            progress.snapshot = Some(snapshot_progress);
            offset_bytes = snapshot_progress.offset_bytes;
        }
        let size_bytes = snapshot.data.len();
        let start = usize::try_from(offset_bytes)
            .unwrap_or(size_bytes)
            .min(size_bytes);
        let end = start
            .saturating_add(self.settings.chunk_bytes)
            .min(size_bytes);
        InstallSnapshot {
            term: self.hard_state.term,
            meta: snapshot.meta.clone(),
            offset_bytes: start as u64,
            data: snapshot.data[start..end].to_vec(),
            done: end == size_bytes,
            round,
            sent_ms: self.now,
        }
    }

    /// Records that a member answered a message of this leader. None if the member isn't tracked.
    fn record_acknowledgement(
        &mut self,
        id: &ReplicaId,
        round: Round,
        sent_ms: Millis,
    ) -> Option<&mut Progress> {
        let progress = self.leadership.as_mut()?.progress.get_mut(id)?;
        progress.acked_round = progress.acked_round.max(round);
        progress.acked_sent_ms = progress.acked_sent_ms.max(Some(sent_ms));
        Some(progress)
    }

    pub(super) fn handle_append_reply(&mut self, from: &ReplicaId, reply: &AppendEntriesReply) {
        if reply.term != self.hard_state.term {
            return;
        }
        let last_index = self.log.last_index();
        let ignores_conflict = self.has_injected_fault(InjectedFault::IgnoreConflict);
        let Some(progress) = self.record_acknowledgement(from, reply.round, reply.sent_ms) else {
            return;
        };
        match reply.outcome {
            AppendOutcome::Matched(index) => {
                progress.match_index = progress.match_index.max(index);
                progress.next_index = progress.next_index.max(index.next());
            }
            AppendOutcome::Conflict(_) if ignores_conflict => {}
            AppendOutcome::Conflict(index) => {
                progress.next_index = index.min(last_index).max(progress.match_index).next();
            }
        }
        self.advance_commit();
        self.send_timeout_now_if_caught_up();
    }

    pub(super) fn handle_install_reply(&mut self, from: &ReplicaId, reply: &InstallSnapshotReply) {
        if reply.term != self.hard_state.term {
            return;
        }
        let Some(progress) = self.record_acknowledgement(from, reply.round, reply.sent_ms) else {
            return;
        };
        let is_current = progress.snapshot.is_some_and(|it| it.index == reply.index);
        if reply.installed {
            progress.match_index = progress.match_index.max(reply.index);
            progress.next_index = progress.next_index.max(reply.index.next());
            progress.snapshot = None;
        } else if is_current {
            progress.snapshot = Some(SnapshotProgress {
                index: reply.index,
                offset_bytes: reply.received_bytes,
            });
            self.replicate_to(from);
        }
        self.advance_commit();
    }

    /// Advances the commit index to the last entry that a majority has synced, if that entry is of
    /// the current term.
    pub(super) fn advance_commit(&mut self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let match_index = self.log.membership().quorum_value(|id| {
            if *id == self.id {
                return self.durable_index;
            }
            leadership
                .progress
                .get(id)
                .map_or(Index::ZERO, |it| it.match_index)
        });
        let Some(index) = match_index.filter(|index| *index > self.commit_index) else {
            return;
        };
        let is_own_term = self.log.term_at(index) == Some(self.hard_state.term);
        if !is_own_term && !self.has_injected_fault(InjectedFault::CommitOldTerm) {
            return;
        }
        self.commit_index = index;
        self.step_down_if_removed();
    }

    /// Time at which the newest message was sent that a majority of the voters has answered.
    pub(super) fn quorum_acked_sent_ms(&self) -> Option<Millis> {
        let leadership = self.leadership.as_ref()?;
        let sent_ms = self.log.membership().quorum_value(|id| {
            if *id == self.id {
                return Some(self.now);
            }
            leadership.progress.get(id)?.acked_sent_ms
        });
        sent_ms.flatten()
    }

    /// Whether this leader has had no answers from a majority for `election_max_ms`.
    pub(super) fn has_lost_quorum(&self) -> bool {
        if self.has_injected_fault(InjectedFault::IgnoreQuorumLoss) {
            return false;
        }
        let Some(leadership) = &self.leadership else {
            return false;
        };
        let last_quorum_contact_ms = self
            .quorum_acked_sent_ms()
            .unwrap_or(Millis::ZERO)
            .max(leadership.elected_at);
        self.now >= last_quorum_contact_ms + self.settings.election_max_ms
    }
}
