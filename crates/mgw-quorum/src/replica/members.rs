//! Changes of the members, one at a time, and the hand-over of leadership.

use super::leader::Transfer;
use super::state::Replica;
use crate::{Index, InjectedFault, Membership, Message, Payload, QuorumError, ReplicaId};
use mgw_world::Millis;
use std::collections::BTreeSet;

impl Replica {
    /// Adds a replica that receives the log without counting.
    ///
    /// # Errors
    ///
    /// Refuses when this replica doesn't lead, hasn't committed in its term, has a change under
    /// way, or the replica is a member already.
    pub fn add_learner(&mut self, id: ReplicaId, now: Millis) -> Result<Index, QuorumError> {
        self.advance(now);
        self.check_change()?;
        let mut members = self.membership().clone();
        if members.is_member(&id) {
            return Err(QuorumError::WrongMember { id });
        }
        members.learners.insert(id);
        Ok(self.append_members(members))
    }

    /// Makes a voter of a learner that has caught up.
    ///
    /// # Errors
    ///
    /// As for [`Self::add_learner`], and when the learner is behind or a majority of the new
    /// voters can't be reached.
    pub fn promote(&mut self, id: ReplicaId, now: Millis) -> Result<Index, QuorumError> {
        self.advance(now);
        self.check_change()?;
        let mut members = self.membership().clone();
        if !members.learners.remove(&id) {
            return Err(QuorumError::WrongMember { id });
        }
        self.check_caught_up(&id)?;
        members.voters.insert(id);
        self.check_reachable(&members)?;
        Ok(self.append_members(members))
    }

    /// Removes a voter or a learner.
    ///
    /// # Errors
    ///
    /// As for [`Self::add_learner`], and when a majority of the remaining voters can't be reached.
    pub fn remove(&mut self, id: &ReplicaId, now: Millis) -> Result<Index, QuorumError> {
        self.advance(now);
        self.check_change()?;
        let mut members = self.membership().clone();
        let is_removed = members.learners.remove(id) || members.voters.remove(id);
        if !is_removed {
            return Err(QuorumError::WrongMember { id: id.clone() });
        }
        self.check_reachable(&members)?;
        Ok(self.append_members(members))
    }

    /// Hands leadership to another voter, for a graceful shutdown. The leader takes no proposals
    /// until the hand-over ended, and steps down if the target doesn't take over.
    ///
    /// # Errors
    ///
    /// Refuses when this replica doesn't lead or the target is no other voter.
    pub fn transfer_leadership(
        &mut self,
        target: ReplicaId,
        now: Millis,
    ) -> Result<(), QuorumError> {
        self.advance(now);
        self.check_leading()?;
        if target == self.id || !self.membership().is_voter(&target) {
            return Err(QuorumError::WrongMember { id: target });
        }
        let deadline_ms = self.now + self.settings.election_max_ms;
        if let Some(leadership) = &mut self.leadership {
            leadership.transfer = Some(Transfer {
                target,
                deadline_ms,
                is_ordered: false,
            });
        }
        self.hand_over_when_caught_up();
        Ok(())
    }

    /// The voter with the most synced entries, as target of a hand-over.
    #[must_use]
    pub fn best_transfer_target(&self) -> Option<ReplicaId> {
        let leadership = self.leadership.as_ref()?;
        let voters = &self.membership().voters;
        leadership
            .progress
            .iter()
            .filter(|(id, progress)| voters.contains(id) && progress.acked_sent_ms.is_some())
            .max_by_key(|(_, progress)| (progress.matched, progress.acked_sent_ms))
            .map(|(id, _)| id.clone())
    }

    /// Last entry known to be synced at a member; known of itself, and of others while leading.
    #[must_use]
    pub fn match_index(&self, id: &ReplicaId) -> Option<Index> {
        if *id == self.id {
            return Some(self.durable);
        }
        let progress = &self.leadership.as_ref()?.progress;
        progress.get(id).map(|progress| progress.matched)
    }

    /// Members that answered within an election timeout, this leader included.
    #[must_use]
    pub fn reachable_members(&self) -> BTreeSet<ReplicaId> {
        let Some(leadership) = &self.leadership else {
            return BTreeSet::new();
        };
        let oldest = self.now - self.settings.election_max_ms;
        let mut reachable: BTreeSet<ReplicaId> = leadership
            .progress
            .iter()
            .filter(|(_, progress)| progress.acked_sent_ms.is_some_and(|at| at >= oldest))
            .map(|(id, _)| id.clone())
            .collect();
        reachable.insert(self.id.clone());
        reachable
    }

    fn check_change(&self) -> Result<(), QuorumError> {
        self.check_leading()?;
        if !self.has_committed_in_term() && !self.is_fault(InjectedFault::EarlyChange) {
            return Err(QuorumError::NotReady);
        }
        let index = self.log.last_change();
        if index > self.commit {
            return Err(QuorumError::ChangePending { index });
        }
        Ok(())
    }

    fn check_caught_up(&self, id: &ReplicaId) -> Result<(), QuorumError> {
        let matched = self
            .leadership
            .as_ref()
            .and_then(|leadership| leadership.progress.get(id))
            .map_or(Index::ZERO, |progress| progress.matched);
        let lag_entries = self.log.last_index().0 - matched.0.min(self.log.last_index().0);
        let is_behind = matched == Index::ZERO || lag_entries > self.settings.promote_lag_entries;
        if is_behind && !self.is_fault(InjectedFault::PromoteBehind) {
            return Err(QuorumError::LearnerBehind {
                id: id.clone(),
                matched,
            });
        }
        Ok(())
    }

    fn check_reachable(&self, members: &Membership) -> Result<(), QuorumError> {
        let is_skipped = self.is_fault(InjectedFault::SkipReachableCheck);
        if is_skipped || members.has_quorum(&self.reachable_members()) {
            Ok(())
        } else {
            Err(QuorumError::QuorumAtRisk)
        }
    }

    fn append_members(&mut self, members: Membership) -> Index {
        let index = self.append_own(Payload::Membership(members));
        self.track_members();
        index
    }

    /// A leader that is no member any more leads until its removal is committed.
    pub(super) fn leave_if_removed(&mut self) {
        let is_removed = !self.membership().is_voter(&self.id);
        if is_removed && self.log.last_change() <= self.commit {
            self.follow(self.hard.term, None);
        }
    }

    pub(super) fn hand_over_when_caught_up(&mut self) {
        let term = self.hard.term;
        let last = self.log.last_index();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(transfer) = &mut leadership.transfer else {
            return;
        };
        let is_behind = leadership
            .progress
            .get(&transfer.target)
            .is_none_or(|progress| progress.matched < last);
        if transfer.is_ordered || is_behind {
            return;
        }
        transfer.is_ordered = true;
        let target = transfer.target.clone();
        self.send(target, Message::TimeoutNow { term });
    }

    /// Ends a hand-over that takes too long. Once the target was told to take over it may do so
    /// at any time, so this leader steps down rather than going on.
    pub(super) fn check_transfer(&mut self) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(transfer) = &leadership.transfer else {
            return;
        };
        if now < transfer.deadline_ms {
            return;
        }
        if transfer.is_ordered {
            self.follow(self.hard.term, None);
        } else {
            leadership.transfer = None;
        }
    }
}
