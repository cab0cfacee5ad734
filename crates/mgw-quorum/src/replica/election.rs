//! Elections: pre-votes, votes, and the step from candidate to leader.

use super::leader::Leadership;
use super::state::{Replica, Role};
use crate::{InjectedFault, Message, Payload, ReplicaId, Term, VoteReply, VoteRequest};
use mgw_world::Millis;
use rand::Rng;

impl Replica {
    /// Asks the voters whether an election would succeed. Without this, a replica that returns from
    /// a network partition would raise the term and depose a working leader.
    pub(super) fn start_pre_vote(&mut self) {
        if !self.may_vote() || !self.membership().is_voter(&self.id) {
            self.reset_election_timer();
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.schedule_election_retry(self.settings.heartbeat_ms.times(2));
        self.votes = [self.id.clone()].into();
        let request = self.vote_request(self.hard_state.term.next(), false);
        self.send_to_voters(&Message::PreVote(request));
        self.start_election_if_pre_vote_won();
    }

    pub(super) fn handle_pre_vote(&mut self, from: ReplicaId, request: &VoteRequest) {
        let granted = request.term > self.hard_state.term
            && self.may_vote()
            && !self.must_protect_lease(false)
            && self.is_log_up_to_date(request);
        let term = if granted {
            request.term
        } else {
            self.hard_state.term
        };
        self.send(from, Message::PreVoteReply(VoteReply { term, granted }));
    }

    pub(super) fn handle_pre_vote_reply(&mut self, from: ReplicaId, reply: &VoteReply) {
        let is_current =
            self.role == Role::PreCandidate && reply.term == self.hard_state.term.next();
        if !is_current || !reply.granted {
            return;
        }
        self.votes.insert(from);
        self.start_election_if_pre_vote_won();
    }

    fn start_election_if_pre_vote_won(&mut self) {
        let is_skipped = self.has_injected_fault(InjectedFault::SkipPreVote);
        if is_skipped || self.membership().has_quorum(&self.votes) {
            self.start_election(false);
        }
    }

    /// Becomes a candidate in the next term, votes for itself and asks the other voters.
    fn start_election(&mut self, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.votes.clear();
        self.set_hard_state(self.hard_state.term.next(), Some(self.id.clone()));
        self.own_vote_write_id = self.current_state_write_id();
        self.schedule_election_retry(self.settings.election_min_ms);
        let request = self.vote_request(self.hard_state.term, transfer);
        self.send_to_voters(&Message::Vote(request));
        if self.has_injected_fault(InjectedFault::AckBeforeSync) {
            self.count_own_vote();
        }
    }

    pub(super) fn handle_vote(&mut self, from: ReplicaId, request: &VoteRequest) {
        let granted = request.term == self.hard_state.term
            && self.may_vote()
            && !self.must_protect_lease(request.transfer)
            && self.can_vote_for(&from)
            && self.is_log_up_to_date(request);
        if granted {
            self.set_hard_state(self.hard_state.term, Some(from.clone()));
            self.reset_election_timer();
        }
        let term = self.hard_state.term;
        self.send_after_sync(from, Message::VoteReply(VoteReply { term, granted }));
    }

    pub(super) fn handle_vote_reply(&mut self, from: ReplicaId, reply: &VoteReply) {
        let is_current = self.role == Role::Candidate && reply.term == self.hard_state.term;
        if !is_current || !reply.granted {
            return;
        }
        self.votes.insert(from);
        self.become_leader_if_elected();
    }

    /// Counts the candidate's vote for itself, but only once that vote is synced.
    pub(super) fn count_own_vote(&mut self) {
        let is_synced = self.synced_write_id >= self.own_vote_write_id
            || self.has_injected_fault(InjectedFault::AckBeforeSync);
        if self.role == Role::Candidate && is_synced {
            self.votes.insert(self.id.clone());
            self.become_leader_if_elected();
        }
    }

    fn become_leader_if_elected(&mut self) {
        if !self.membership().has_quorum(&self.votes) {
            return;
        }
        self.role = Role::Leader;
        self.leader = Some(self.id.clone());
        self.votes.clear();
        let term_start_index = self.log.last_index().next();
        self.leadership = Some(Leadership::new(self.now, term_start_index));
        self.update_tracked_members();
        self.append_new_entry(Payload::Noop);
    }

    /// Starts an election without a pre-vote, because the leader transfers leadership to this
    /// replica.
    pub(super) fn handle_timeout_now(&mut self, from: &ReplicaId, term: Term) {
        let is_leader = term == self.hard_state.term && self.leader.as_ref() == Some(from);
        if is_leader && self.may_vote() && self.membership().is_voter(&self.id) {
            self.start_election(true);
        }
    }

    /// Whether the log is non-empty. A replica with an empty log may have acknowledged entries
    /// under this identity before its disk was wiped, so it must not vote.
    fn may_vote(&self) -> bool {
        !self.log.is_empty() || self.has_injected_fault(InjectedFault::EmptyLogVotes)
    }

    /// Whether this replica has not voted for another candidate in this term.
    fn can_vote_for(&self, candidate: &ReplicaId) -> bool {
        match &self.hard_state.voted_for {
            None => true,
            Some(voted_for) => {
                voted_for == candidate || self.has_injected_fault(InjectedFault::VoteTwice)
            }
        }
    }

    /// Whether the log of the candidate is at least as up to date as that of this replica.
    fn is_log_up_to_date(&self, request: &VoteRequest) -> bool {
        let own_last = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= own_last
            || self.has_injected_fault(InjectedFault::SkipLogCheck)
    }

    fn vote_request(&self, term: Term, transfer: bool) -> VoteRequest {
        VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        }
    }

    /// Sends a vote or pre-vote request to all other voters. A vote request waits until the own
    /// vote and term are synced; a pre-vote changes no state.
    fn send_to_voters(&mut self, message: &Message) {
        let voters = self.membership().voters.clone();
        for voter in voters {
            if voter == self.id {
                continue;
            }
            match message {
                Message::PreVote(_) => self.send(voter, message.clone()),
                _ => self.send_after_sync(voter, message.clone()),
            }
        }
    }

    /// Schedules the next election attempt after a random delay between a heartbeat interval and
    /// `max_delay`.
    fn schedule_election_retry(&mut self, max_delay: Millis) {
        let min_ms = self.settings.heartbeat_ms.0;
        let delay_ms = self.rng.random_range(min_ms..=max_delay.0.max(min_ms));
        self.election_at = self.now + Millis(delay_ms);
    }
}
