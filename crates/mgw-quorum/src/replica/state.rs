//! State of a replica, its inputs, and the dispatch of received messages.

use super::leader::Leadership;
use super::output::{DeferredMessage, PendingWrite, RoleChange};
use crate::log::Log;
use crate::{
    Damage, Entry, Envelope, HardState, Index, InjectedFault, Membership, Message, QuorumError,
    RecoveredState, ReplicaId, Settings, SnapshotMeta, Term, WriteId,
};
use mgw_world::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};

/// Current role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Receives the log without counting toward a quorum, or isn't a member yet.
    Learner,
    /// Voter that replicates the log of the leader.
    Follower,
    /// Voter that asks the others whether an election would succeed.
    PreCandidate,
    /// Voter that has started an election and asks for votes.
    Candidate,
    /// Accepts proposals and replicates the log to the other members.
    Leader,
    /// Neither votes nor replicates, because synced content can't be read back.
    Damaged,
}

/// One replica of the log.
///
/// Each input takes the current time of the process's monotonic clock. After each input, or after
/// several of them, the shell calls [`Self::take_output`] and carries out what it returns.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) settings: Settings,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: Millis,
    pub(super) log: Log,
    pub(super) hard_state: HardState,
    pub(super) damage: Option<Damage>,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    /// Set while this replica leads.
    pub(super) leadership: Option<Leadership>,
    pub(super) commit_index: Index,
    /// Last entry handed out to be applied.
    pub(super) applied_index: Index,
    /// Last entry that is synced.
    pub(super) durable_index: Index,
    /// Writes handed out and not yet synced, each with the last index of the log at that time.
    pub(super) in_flight_writes: VecDeque<(WriteId, Index)>,
    pub(super) synced_write_id: WriteId,
    pub(super) last_write_id: WriteId,
    pub(super) pending_write: PendingWrite,
    pub(super) outbox: Vec<Envelope>,
    pub(super) deferred_messages: VecDeque<DeferredMessage>,
    pub(super) last_leader_contact_at: Millis,
    pub(super) election_at: Millis,
    /// Voters that granted the vote or pre-vote under way.
    pub(super) votes: BTreeSet<ReplicaId>,
    /// Write that makes this replica's vote for itself durable.
    pub(super) own_vote_write_id: WriteId,
    /// Write that makes the newest hard state durable.
    pub(super) hard_state_write_id: WriteId,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// Last role change handed out in [`crate::Output::role_change`].
    pub(super) last_role_change: Option<RoleChange>,
    pub(super) read_outcomes: super::reads::ReadOutcomes,
}

/// A snapshot of which some chunks have been received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    pub(super) meta: SnapshotMeta,
    pub(super) data: Vec<u8>,
}

impl Replica {
    /// Starts a replica from the state that was read from its data folder.
    ///
    /// It grants no vote for `election_min_ms`, because a leader's lease may rest on an answer that
    /// it sent before the restart.
    #[must_use]
    pub fn new(
        id: ReplicaId,
        settings: Settings,
        recovered: RecoveredState,
        now: Millis,
        seed: u64,
    ) -> Self {
        let log = Log::new(recovered.snapshot.unwrap_or_default(), recovered.entries);
        let mut hard_state = recovered.hard_state;
        if log.last_term() > hard_state.term {
            hard_state = HardState {
                term: log.last_term(),
                voted_for: None,
            };
        }
        let role = match recovered.damage {
            Some(_) => Role::Damaged,
            None => Role::Follower,
        };
        let mut replica = Self {
            id,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            commit_index: log.snapshot_index(),
            durable_index: log.last_index(),
            log,
            hard_state,
            damage: recovered.damage,
            role,
            leader: None,
            leadership: None,
            applied_index: Index::ZERO,
            in_flight_writes: VecDeque::new(),
            synced_write_id: WriteId::ZERO,
            last_write_id: WriteId::ZERO,
            pending_write: PendingWrite::default(),
            outbox: Vec::new(),
            deferred_messages: VecDeque::new(),
            last_leader_contact_at: now,
            election_at: now,
            votes: BTreeSet::new(),
            own_vote_write_id: WriteId::ZERO,
            hard_state_write_id: WriteId::ZERO,
            incoming_snapshot: None,
            last_role_change: None,
            read_outcomes: super::reads::ReadOutcomes::default(),
        };
        replica.reset_election_timer();
        replica
    }

    /// Full identity of this replica.
    #[must_use]
    pub const fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Current role.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.role {
            Role::Follower if !self.membership().is_voter(&self.id) => Role::Learner,
            role => role,
        }
    }

    /// Highest term seen. A leader uses it as the fencing number of its orders.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Leader of the current term, if known.
    #[must_use]
    pub const fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Membership by the newest change in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Index of the last entry that this replica knows to be committed.
    #[must_use]
    pub const fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Index of the last entry that was handed out in [`crate::Output::committed`].
    #[must_use]
    pub const fn applied_index(&self) -> Index {
        self.applied_index
    }

    /// Index of the last entry in the log.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Last index that the snapshot before the log includes, zero without a snapshot.
    #[must_use]
    pub const fn snapshot_index(&self) -> Index {
        self.log.snapshot_index()
    }

    /// Entries in the log after the snapshot.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        self.log.entries()
    }

    /// Damage of the data folder because of which the replica neither votes nor replicates, if any.
    #[must_use]
    pub const fn damage(&self) -> Option<&Damage> {
        self.damage.as_ref()
    }

    /// Time at which [`Self::tick`] must be called next.
    #[must_use]
    pub fn next_tick_at(&self) -> Millis {
        if self.role == Role::Damaged {
            return Millis::MAX;
        }
        match &self.leadership {
            Some(leadership) => leadership.heartbeat_at,
            None => self.election_at,
        }
    }

    /// Advances the clock. Starts an election that is due, makes a leader without answers from a
    /// quorum step down, and lets the next output contain a heartbeat that is due.
    pub fn tick(&mut self, now: Millis) {
        self.advance_clock(now);
        if self.role == Role::Damaged || self.leadership.is_some() {
            return;
        }
        if self.now >= self.election_at {
            self.start_pre_vote();
        }
    }

    /// Handles a message from another replica. Drops it if it is addressed to another identity.
    pub fn receive(&mut self, envelope: Envelope, now: Millis) {
        self.advance_clock(now);
        let Envelope { from, to, message } = envelope;
        if to != self.id || from == self.id || self.role == Role::Damaged {
            return;
        }
        self.adopt_newer_term(&message);
        match message {
            Message::PreVote(request) => self.handle_pre_vote(from, &request),
            Message::PreVoteReply(reply) => self.handle_pre_vote_reply(from, &reply),
            Message::Vote(request) => self.handle_vote(from, &request),
            Message::VoteReply(reply) => self.handle_vote_reply(from, &reply),
            Message::Append(append) => self.handle_append(from, append),
            Message::AppendReply(reply) => self.handle_append_reply(&from, &reply),
            Message::Install(install) => self.handle_install(from, install),
            Message::InstallReply(reply) => self.handle_install_reply(&from, &reply),
            Message::TimeoutNow { term } => self.handle_timeout_now(&from, term),
        }
    }

    /// Appends a command to the log of the leader. It is committed once it is returned in
    /// [`crate::Output::committed`]. Proposals between two outputs share one write and one sync.
    ///
    /// # Errors
    ///
    /// Fails when this replica isn't the leader or is transferring leadership.
    pub fn propose(&mut self, command: Vec<u8>, now: Millis) -> Result<(Term, Index), QuorumError> {
        self.advance_clock(now);
        self.check_accepts_requests()?;
        let index = self.append_new_entry(crate::Payload::Command(command));
        Ok((self.hard_state.term, index))
    }

    /// Reports that the write and all earlier writes are synced.
    pub fn confirm_synced(&mut self, write: WriteId, now: Millis) {
        self.advance_clock(now);
        self.synced_write_id = self.synced_write_id.max(write);
        while let Some((id, index)) = self.in_flight_writes.front().copied() {
            if id > write {
                break;
            }
            self.in_flight_writes.pop_front();
            self.durable_index = index;
        }
        self.count_own_vote();
        self.advance_commit();
    }

    /// Sets the clock to the time of an input and ends what has expired by then: the leadership of
    /// a leader without a quorum, or a leadership transfer.
    pub(super) fn advance_clock(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if self.leadership.is_some() && self.has_lost_quorum() {
            self.become_follower(self.hard_state.term, None);
        }
        self.check_transfer_deadline();
    }

    pub(super) fn has_injected_fault(&self, fault: InjectedFault) -> bool {
        self.settings.injected_fault == fault
    }

    pub(super) fn set_hard_state(&mut self, term: Term, voted_for: Option<ReplicaId>) {
        self.hard_state = HardState { term, voted_for };
        self.pending_write.has_hard_state = true;
        self.hard_state_write_id = self.current_state_write_id();
    }

    pub(super) fn reset_election_timer(&mut self) {
        let min_ms = self.settings.election_min_ms.0;
        let max_ms = self.settings.election_max_ms.0.max(min_ms);
        let timeout_ms = self.rng.random_range(min_ms..=max_ms);
        self.election_at = self.now + Millis(timeout_ms);
    }

    /// Becomes a follower, in the current term or a newer one.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.set_hard_state(term, None);
        }
        if let Some(leadership) = self.leadership.take() {
            self.fail_reads(leadership.pending_reads);
            self.reset_election_timer();
        }
        self.role = Role::Follower;
        self.votes.clear();
        self.leader = leader;
    }

    /// Becomes a follower in the term of the message if that is newer. Exempt are pre-votes, which
    /// change no term, and requests for a vote that is refused to protect a lease.
    fn adopt_newer_term(&mut self, message: &Message) {
        if message.term() <= self.hard_state.term {
            return;
        }
        match message {
            Message::PreVote(_) => {}
            Message::PreVoteReply(reply) if reply.granted => {}
            Message::Vote(request) if self.must_protect_lease(request.transfer) => {}
            other => self.become_follower(other.term(), None),
        }
    }

    /// Whether votes must be refused, because this replica leads or had contact to a leader whose
    /// lease may still be valid. A leadership transfer is exempt: the old leader has given up its
    /// lease.
    pub(super) fn must_protect_lease(&self, transfer: bool) -> bool {
        let protected_until = self.last_leader_contact_at + self.settings.election_min_ms;
        let applies = !transfer && !self.has_injected_fault(InjectedFault::VoteDespiteLease);
        applies && (self.leadership.is_some() || self.now < protected_until)
    }
}
