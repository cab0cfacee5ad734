//! What a leader does: replication, the commit index, heartbeats and the check for a quorum.

use super::reads::PendingRead;
use super::state::Replica;
use crate::{
    Append, AppendOutcome, AppendReply, Entry, Index, InjectedFault, InstallChunk, InstallReply,
    Message, Payload, QuorumError, ReplicaId, Round,
};
use mgw_world::Millis;
use std::collections::BTreeMap;

/// State that lasts as long as a replica leads.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) since: Millis,
    /// Position of the no-op that began the term.
    pub(super) term_start: Index,
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    pub(super) round: Round,
    pub(super) round_due: bool,
    pub(super) heartbeat_at: Millis,
    pub(super) reads: Vec<PendingRead>,
    pub(super) transfer: Option<Transfer>,
}

/// What a leader knows of another member.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress {
    pub(super) matched: Index,
    pub(super) next: Index,
    pub(super) acked_round: Round,
    /// Clock of this leader when it sent the newest message that was answered.
    pub(super) acked_sent_ms: Option<Millis>,
    pub(super) snapshot: Option<SnapshotProgress>,
}

/// How much of a snapshot a member has.
#[derive(Debug, Clone, Copy)]
pub(super) struct SnapshotProgress {
    pub(super) index: Index,
    pub(super) offset_bytes: u64,
}

/// A hand-over of leadership.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) target: ReplicaId,
    pub(super) deadline_ms: Millis,
    pub(super) is_ordered: bool,
}

impl Leadership {
    pub(super) const fn new(now: Millis, term_start: Index) -> Self {
        Self {
            since: now,
            term_start,
            progress: BTreeMap::new(),
            round: Round::ZERO,
            round_due: true,
            heartbeat_at: now,
            reads: Vec::new(),
            transfer: None,
        }
    }

    /// Whether leadership may already have passed on, so that no lease holds.
    pub(super) fn is_handed_over(&self) -> bool {
        self.transfer.as_ref().is_some_and(|it| it.is_ordered)
    }
}

impl Replica {
    pub(super) fn check_leading(&self) -> Result<(), QuorumError> {
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

    pub(super) fn append_own(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index().next();
        self.push_entry(Entry {
            term: self.hard.term,
            index,
            payload,
        });
        index
    }

    /// Starts or stops to track members after a change of the membership.
    pub(super) fn track_members(&mut self) {
        let members = self.log.membership().clone();
        let next = self.log.last_index().next();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.progress.retain(|id, _| members.is_member(id));
        for id in members.voters.iter().chain(&members.learners) {
            if *id == self.id || leadership.progress.contains_key(id) {
                continue;
            }
            let progress = Progress {
                next,
                ..Progress::default()
            };
            leadership.progress.insert(id.clone(), progress);
        }
        leadership.round_due = true;
    }

    /// Sends what is due: a heartbeat round to all members, else new entries where there are any.
    pub(super) fn replicate(&mut self) {
        let (now, heartbeat_ms) = (self.now, self.settings.heartbeat_ms);
        let last = self.log.last_index();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let is_round = leadership.round_due || now >= leadership.heartbeat_at;
        if is_round {
            leadership.round = leadership.round.next();
            leadership.round_due = false;
            leadership.heartbeat_at = now + heartbeat_ms;
        }
        let behind = |progress: &Progress| progress.next <= last && progress.snapshot.is_none();
        let receivers: Vec<ReplicaId> = leadership
            .progress
            .iter()
            .filter(|(_, progress)| is_round || behind(progress))
            .map(|(id, _)| id.clone())
            .collect();
        for id in receivers {
            self.send_progress(&id);
        }
    }

    fn send_progress(&mut self, id: &ReplicaId) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(id) else {
            return;
        };
        let message = if progress.next > self.log.base() {
            let first = progress.next;
            let last = self.log.last_index();
            let entries = self
                .log
                .range(first, last, self.settings.append_entries_max)
                .to_vec();
            progress.snapshot = None;
            progress.next = Index(first.0 + entries.len() as u64);
            Message::Append(Append {
                term: self.hard.term,
                prev_index: first.previous(),
                prev_term: self.log.term_at(first.previous()).unwrap_or_default(),
                entries,
                commit: self.commit,
                round,
                sent_ms: self.now,
            })
        } else {
            Message::Install(self.next_chunk(id, round))
        };
        self.send(id.clone(), message);
    }

    fn next_chunk(&mut self, id: &ReplicaId, round: Round) -> InstallChunk {
        let snapshot = self.log.snapshot();
        let index = snapshot.meta.index;
        let progress = self
            .leadership
            .as_mut()
            .and_then(|leadership| leadership.progress.get_mut(id));
        let mut offset_bytes = 0;
        if let Some(progress) = progress {
            let sending = match progress.snapshot {
                Some(sending) if sending.index == index => sending,
                _ => SnapshotProgress {
                    index,
                    offset_bytes: 0,
                },
            };
            progress.snapshot = Some(sending);
            offset_bytes = sending.offset_bytes;
        }
        let size = snapshot.data.len();
        let start = usize::try_from(offset_bytes).unwrap_or(size).min(size);
        let end = start.saturating_add(self.settings.chunk_bytes).min(size);
        InstallChunk {
            term: self.hard.term,
            meta: snapshot.meta.clone(),
            offset_bytes: start as u64,
            data: snapshot.data[start..end].to_vec(),
            done: end == size,
            round,
            sent_ms: self.now,
        }
    }

    fn hear_member(
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

    pub(super) fn count_append(&mut self, from: &ReplicaId, reply: &AppendReply) {
        if reply.term != self.hard.term {
            return;
        }
        let last = self.log.last_index();
        let ignores_conflict = self.is_fault(InjectedFault::IgnoreConflict);
        let Some(progress) = self.hear_member(from, reply.round, reply.sent_ms) else {
            return;
        };
        match reply.outcome {
            AppendOutcome::Matched(index) => {
                progress.matched = progress.matched.max(index);
                progress.next = progress.next.max(index.next());
            }
            AppendOutcome::Conflict(_) if ignores_conflict => {}
            AppendOutcome::Conflict(index) => {
                progress.next = index.min(last).max(progress.matched).next();
            }
        }
        self.advance_commit();
        self.hand_over_when_caught_up();
    }

    pub(super) fn count_install(&mut self, from: &ReplicaId, reply: &InstallReply) {
        if reply.term != self.hard.term {
            return;
        }
        let Some(progress) = self.hear_member(from, reply.round, reply.sent_ms) else {
            return;
        };
        let is_current = progress.snapshot.is_some_and(|it| it.index == reply.index);
        if reply.installed {
            progress.matched = progress.matched.max(reply.index);
            progress.next = progress.next.max(reply.index.next());
            progress.snapshot = None;
        } else if is_current {
            progress.snapshot = Some(SnapshotProgress {
                index: reply.index,
                offset_bytes: reply.received_bytes,
            });
            self.send_progress(from);
        }
        self.advance_commit();
    }

    /// Commits what a majority has synced, once an entry of this term is among it.
    pub(super) fn advance_commit(&mut self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let matched = self.log.membership().quorum_value(|id| {
            if *id == self.id {
                return self.durable;
            }
            leadership
                .progress
                .get(id)
                .map_or(Index::ZERO, |it| it.matched)
        });
        let Some(index) = matched.filter(|index| *index > self.commit) else {
            return;
        };
        let is_own_term = self.log.term_at(index) == Some(self.hard.term);
        if !is_own_term && !self.is_fault(InjectedFault::CommitOldTerm) {
            return;
        }
        self.commit = index;
        self.leave_if_removed();
    }

    /// Time of sending of the newest heartbeat that a majority answered.
    pub(super) fn quorum_sent_ms(&self) -> Option<Millis> {
        let leadership = self.leadership.as_ref()?;
        let newest = self.log.membership().quorum_value(|id| {
            if *id == self.id {
                return Some(self.now);
            }
            leadership.progress.get(id)?.acked_sent_ms
        });
        newest.flatten()
    }

    pub(super) fn has_lost_quorum(&self) -> bool {
        if self.is_fault(InjectedFault::IgnoreQuorumLoss) {
            return false;
        }
        let Some(leadership) = &self.leadership else {
            return false;
        };
        let heard = self
            .quorum_sent_ms()
            .unwrap_or(Millis::ZERO)
            .max(leadership.since);
        self.now >= heard + self.settings.election_max_ms
    }
}
