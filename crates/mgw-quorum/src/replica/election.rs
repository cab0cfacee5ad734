//! Pre-votes, votes, and the change to leader.

use super::leader::Leadership;
use super::state::{Replica, Role};
use crate::{InjectedFault, Message, Payload, ReplicaId, Term, VoteReply, VoteRequest};
use mgw_world::Millis;
use rand::Rng;

impl Replica {
    /// Asks the voters whether an election would succeed, so that a replica that was cut off
    /// doesn't raise the term of the others.
    pub(super) fn start_pre_vote(&mut self) {
        if !self.may_vote() || !self.membership().is_voter(&self.id) {
            self.reset_election_timer();
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.retry_election_after(self.settings.heartbeat_ms.times(2));
        self.votes = [self.id.clone()].into();
        let request = self.vote_request(self.hard.term.next(), false);
        self.ask_voters(&Message::PreVote(request));
        self.finish_pre_vote();
    }

    pub(super) fn answer_pre_vote(&mut self, from: ReplicaId, request: &VoteRequest) {
        let granted = request.term > self.hard.term
            && self.may_vote()
            && !self.is_sticky(false)
            && self.is_up_to_date(request);
        let term = if granted {
            request.term
        } else {
            self.hard.term
        };
        self.send(from, Message::PreVoteReply(VoteReply { term, granted }));
    }

    pub(super) fn count_pre_vote(&mut self, from: ReplicaId, reply: &VoteReply) {
        let is_mine = self.role == Role::PreCandidate && reply.term == self.hard.term.next();
        if !is_mine || !reply.granted {
            return;
        }
        self.votes.insert(from);
        self.finish_pre_vote();
    }

    fn finish_pre_vote(&mut self) {
        let is_skipped = self.is_fault(InjectedFault::SkipPreVote);
        if is_skipped || self.membership().has_quorum(&self.votes) {
            self.start_vote(false);
        }
    }

    fn start_vote(&mut self, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.votes.clear();
        self.set_hard_state(self.hard.term.next(), Some(self.id.clone()));
        self.own_vote_write = self.current_write();
        self.retry_election_after(self.settings.election_min_ms);
        let request = self.vote_request(self.hard.term, transfer);
        self.ask_voters(&Message::Vote(request));
        if self.is_fault(InjectedFault::AckBeforeSync) {
            self.count_own_vote();
        }
    }

    pub(super) fn answer_vote(&mut self, from: ReplicaId, request: &VoteRequest) {
        let granted = request.term == self.hard.term
            && self.may_vote()
            && !self.is_sticky(request.transfer)
            && self.has_vote_for(&from)
            && self.is_up_to_date(request);
        if granted {
            self.set_hard_state(self.hard.term, Some(from.clone()));
            self.reset_election_timer();
        }
        let term = self.hard.term;
        self.send_synced(from, Message::VoteReply(VoteReply { term, granted }));
    }

    pub(super) fn count_vote(&mut self, from: ReplicaId, reply: &VoteReply) {
        let is_mine = self.role == Role::Candidate && reply.term == self.hard.term;
        if !is_mine || !reply.granted {
            return;
        }
        self.votes.insert(from);
        self.finish_vote();
    }

    /// Counts the vote for itself, but only once it is synced.
    pub(super) fn count_own_vote(&mut self) {
        let is_synced =
            self.synced_write >= self.own_vote_write || self.is_fault(InjectedFault::AckBeforeSync);
        if self.role == Role::Candidate && is_synced {
            self.votes.insert(self.id.clone());
            self.finish_vote();
        }
    }

    fn finish_vote(&mut self) {
        if !self.membership().has_quorum(&self.votes) {
            return;
        }
        self.role = Role::Leader;
        self.leader = Some(self.id.clone());
        self.votes.clear();
        let term_start = self.log.last_index().next();
        self.leadership = Some(Leadership::new(self.now, term_start));
        self.track_members();
        self.append_own(Payload::Noop);
    }

    /// Starts an election at once because the leader hands over.
    pub(super) fn take_over(&mut self, from: &ReplicaId, term: Term) {
        let is_leader = term == self.hard.term && self.leader.as_ref() == Some(from);
        if is_leader && self.may_vote() && self.membership().is_voter(&self.id) {
            self.start_vote(true);
        }
    }

    /// An empty log may stand under an identity that acknowledged entries before it was wiped.
    fn may_vote(&self) -> bool {
        !self.log.is_empty() || self.is_fault(InjectedFault::EmptyLogVotes)
    }

    fn has_vote_for(&self, candidate: &ReplicaId) -> bool {
        match &self.hard.voted_for {
            None => true,
            Some(voted_for) => voted_for == candidate || self.is_fault(InjectedFault::VoteTwice),
        }
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= own || self.is_fault(InjectedFault::SkipLogCheck)
    }

    fn vote_request(&self, term: Term, transfer: bool) -> VoteRequest {
        VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        }
    }

    fn ask_voters(&mut self, message: &Message) {
        let voters = self.membership().voters.clone();
        for voter in voters {
            if voter == self.id {
                continue;
            }
            match message {
                Message::PreVote(_) => self.send(voter, message.clone()),
                _ => self.send_synced(voter, message.clone()),
            }
        }
    }

    fn retry_election_after(&mut self, longest: Millis) {
        let shortest = self.settings.heartbeat_ms.0;
        let wait = self.rng.random_range(shortest..=longest.0.max(shortest));
        self.election_at = self.now + Millis(wait);
    }
}
