//! State of a replica, its inputs, and where each message goes.

use super::leader::Leadership;
use super::output::{Held, Pending, RoleChange};
use crate::log::Log;
use crate::{
    Damage, Entry, Envelope, HardState, Index, InjectedFault, Membership, Message, QuorumError,
    RecoveredState, ReplicaId, Settings, SnapshotMeta, Term, WriteId,
};
use mgw_world::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};

/// What a replica does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Receives the log without counting toward a quorum, or is no member yet.
    Learner,
    /// Votes and follows.
    Follower,
    /// Asks whether an election would succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Orders the log.
    Leader,
    /// Takes no part, because synced content can't be read back.
    Damaged,
}

/// One replica of the log.
///
/// Each input takes the monotonic clock of the process. After each input, or after several of
/// them, the shell calls [`Self::take_output`] and carries it out.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) settings: Settings,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: Millis,
    pub(super) log: Log,
    pub(super) hard: HardState,
    pub(super) damage: Option<Damage>,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    pub(super) leadership: Option<Leadership>,
    pub(super) commit: Index,
    pub(super) applied: Index,
    pub(super) durable: Index,
    pub(super) in_flight: VecDeque<(WriteId, Index)>,
    pub(super) synced_write: WriteId,
    pub(super) last_write: WriteId,
    pub(super) pending: Pending,
    pub(super) outbox: Vec<Envelope>,
    pub(super) held: VecDeque<Held>,
    pub(super) heard_leader_at: Millis,
    pub(super) election_at: Millis,
    pub(super) votes: BTreeSet<ReplicaId>,
    pub(super) own_vote_write: WriteId,
    pub(super) hard_write: WriteId,
    pub(super) incoming: Option<Incoming>,
    pub(super) reported: Option<RoleChange>,
    pub(super) reads: super::reads::ReadOutcomes,
}

/// A snapshot that arrives in parts.
#[derive(Debug)]
pub(super) struct Incoming {
    pub(super) meta: SnapshotMeta,
    pub(super) data: Vec<u8>,
}

impl Replica {
    /// Starts a replica from what its data folder held.
    ///
    /// It grants no vote for `election_min_ms`, because it may have promised a lease before the
    /// restart.
    #[must_use]
    pub fn new(
        id: ReplicaId,
        settings: Settings,
        recovered: RecoveredState,
        now: Millis,
        seed: u64,
    ) -> Self {
        let log = Log::new(recovered.snapshot.unwrap_or_default(), recovered.entries);
        let mut hard = recovered.hard_state;
        if log.last_term() > hard.term {
            hard = HardState {
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
            commit: log.base(),
            durable: log.last_index(),
            log,
            hard,
            damage: recovered.damage,
            role,
            leader: None,
            leadership: None,
            applied: Index::ZERO,
            in_flight: VecDeque::new(),
            synced_write: WriteId::ZERO,
            last_write: WriteId::ZERO,
            pending: Pending::default(),
            outbox: Vec::new(),
            held: VecDeque::new(),
            heard_leader_at: now,
            election_at: now,
            votes: BTreeSet::new(),
            own_vote_write: WriteId::ZERO,
            hard_write: WriteId::ZERO,
            incoming: None,
            reported: None,
            reads: super::reads::ReadOutcomes::default(),
        };
        replica.reset_election_timer();
        replica
    }

    /// Full identity.
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

    /// Newest term seen. Of a leader it is the fencing number of its orders.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard.term
    }

    /// Leader of the current term, if known.
    #[must_use]
    pub const fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Members by the newest change in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Last committed entry that this replica knows of.
    #[must_use]
    pub const fn commit_index(&self) -> Index {
        self.commit
    }

    /// Last entry that was handed out in [`crate::Output::committed`].
    #[must_use]
    pub const fn applied_index(&self) -> Index {
        self.applied
    }

    /// Last entry in the log.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Index of the snapshot before the log, zero without one.
    #[must_use]
    pub const fn snapshot_index(&self) -> Index {
        self.log.base()
    }

    /// Entries after the snapshot.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        self.log.entries()
    }

    /// Why the replica takes no part, if it is damaged.
    #[must_use]
    pub const fn damage(&self) -> Option<&Damage> {
        self.damage.as_ref()
    }

    /// Next point in time at which [`Self::tick`] has something to do.
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

    /// Moves the clock on: elections, heartbeats, and the check that a leader hears a quorum.
    pub fn tick(&mut self, now: Millis) {
        self.advance(now);
        if self.role == Role::Damaged || self.leadership.is_some() {
            return;
        }
        if self.now >= self.election_at {
            self.start_pre_vote();
        }
    }

    /// Takes a message of another replica. One that names another identity is dropped.
    pub fn receive(&mut self, envelope: Envelope, now: Millis) {
        self.advance(now);
        let Envelope { from, to, message } = envelope;
        if to != self.id || from == self.id || self.role == Role::Damaged {
            return;
        }
        self.adopt_term(&message);
        match message {
            Message::PreVote(request) => self.answer_pre_vote(from, &request),
            Message::PreVoteReply(reply) => self.count_pre_vote(from, &reply),
            Message::Vote(request) => self.answer_vote(from, &request),
            Message::VoteReply(reply) => self.count_vote(from, &reply),
            Message::Append(append) => self.follow_append(from, append),
            Message::AppendReply(reply) => self.count_append(&from, &reply),
            Message::Install(chunk) => self.follow_install(from, chunk),
            Message::InstallReply(reply) => self.count_install(&from, &reply),
            Message::TimeoutNow { term } => self.take_over(&from, term),
        }
    }

    /// Appends bytes to the log of the leader. They are committed once they come back in
    /// [`crate::Output::committed`]. Proposals between two outputs share one write and one sync.
    ///
    /// # Errors
    ///
    /// Refuses when this replica doesn't lead or is handing over.
    pub fn propose(&mut self, command: Vec<u8>, now: Millis) -> Result<(Term, Index), QuorumError> {
        self.advance(now);
        self.check_leading()?;
        let index = self.append_own(crate::Payload::Command(command));
        Ok((self.hard.term, index))
    }

    /// Reports that the write and all earlier ones are synced.
    pub fn confirm_synced(&mut self, write: WriteId, now: Millis) {
        self.advance(now);
        self.synced_write = self.synced_write.max(write);
        while let Some((id, index)) = self.in_flight.front().copied() {
            if id > write {
                break;
            }
            self.in_flight.pop_front();
            self.durable = index;
        }
        self.count_own_vote();
        self.advance_commit();
    }

    pub(super) fn advance(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if self.leadership.is_some() && self.has_lost_quorum() {
            self.follow(self.hard.term, None);
        }
        self.check_transfer();
    }

    pub(super) fn is_fault(&self, fault: InjectedFault) -> bool {
        self.settings.injected_fault == fault
    }

    pub(super) fn set_hard_state(&mut self, term: Term, voted_for: Option<ReplicaId>) {
        self.hard = HardState { term, voted_for };
        self.pending.hard_state = true;
        self.hard_write = self.current_write();
    }

    pub(super) fn reset_election_timer(&mut self) {
        let shortest = self.settings.election_min_ms.0;
        let longest = self.settings.election_max_ms.0.max(shortest);
        let wait = self.rng.random_range(shortest..=longest);
        self.election_at = self.now + Millis(wait);
    }

    /// Turns follower, in this term or a newer one.
    pub(super) fn follow(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard.term {
            self.set_hard_state(term, None);
        }
        if let Some(leadership) = self.leadership.take() {
            self.fail_reads(leadership.reads);
            self.reset_election_timer();
        }
        self.role = Role::Follower;
        self.votes.clear();
        self.leader = leader;
    }

    fn adopt_term(&mut self, message: &Message) {
        if message.term() <= self.hard.term {
            return;
        }
        match message {
            Message::PreVote(_) => {}
            Message::PreVoteReply(reply) if reply.granted => {}
            Message::Vote(request) if self.is_sticky(request.transfer) => {}
            other => self.follow(other.term(), None),
        }
    }

    /// Whether this replica still keeps its promise to a leader that it heard.
    pub(super) fn is_sticky(&self, transfer: bool) -> bool {
        let promise_until = self.heard_leader_at + self.settings.election_min_ms;
        let is_kept = !transfer && !self.is_fault(InjectedFault::VoteDespiteLease);
        is_kept && (self.leadership.is_some() || self.now < promise_until)
    }
}
