//! Membership changes, one at a time, and leadership transfer.

use super::leader::Transfer;
use super::state::Replica;
use crate::{Index, InjectedFault, Membership, Message, Payload, QuorumError, ReplicaId};
use mgw_world::Millis;
use std::collections::BTreeSet;

impl Replica {
    /// Adds a replica as a learner, which receives the log without counting toward a quorum.
    ///
    /// # Errors
    ///
    /// Fails when this replica isn't the leader, is transferring leadership, hasn't committed an
    /// entry of its term, or has an uncommitted membership change, and when `id` is a member
    /// already.
    pub fn add_learner(&mut self, id: ReplicaId, now: Millis) -> Result<Index, QuorumError> {
        self.advance_clock(now);
        self.check_accepts_member_change()?;
        let mut membership = self.membership().clone();
        if membership.is_member(&id) {
            return Err(QuorumError::WrongMember { id });
        }
        membership.learners.insert(id);
        Ok(self.append_membership(membership))
    }

    /// Promotes a learner that has caught up to a voter.
    ///
    /// # Errors
    ///
    /// As for [`Self::add_learner`], except that `id` must be a learner; also when the learner lags
    /// behind, or a majority of the new voters can't be reached.
    pub fn promote(&mut self, id: ReplicaId, now: Millis) -> Result<Index, QuorumError> {
        self.advance_clock(now);
        self.check_accepts_member_change()?;
        let mut membership = self.membership().clone();
        if !membership.learners.remove(&id) {
            return Err(QuorumError::WrongMember { id });
        }
        self.check_caught_up(&id)?;
        membership.voters.insert(id);
        self.check_reachable(&membership)?;
        Ok(self.append_membership(membership))
    }

    /// Removes a voter or a learner.
    ///
    /// # Errors
    ///
    /// As for [`Self::add_learner`], except that `id` must be a member; also when a majority of the
    /// remaining voters can't be reached.
    pub fn remove(&mut self, id: &ReplicaId, now: Millis) -> Result<Index, QuorumError> {
        self.advance_clock(now);
        self.check_accepts_member_change()?;
        let mut membership = self.membership().clone();
        let is_removed = membership.learners.remove(id) || membership.voters.remove(id);
        if !is_removed {
            return Err(QuorumError::WrongMember { id: id.clone() });
        }
        self.check_reachable(&membership)?;
        Ok(self.append_membership(membership))
    }

    /// Starts to transfer leadership to another voter, for a graceful shutdown. The leader accepts
    /// no proposals until the transfer has ended. If the target was told to start an election and
    /// doesn't become the leader in time, this leader steps down.
    ///
    /// # Errors
    ///
    /// Fails when this replica isn't the leader or is transferring leadership already, and when the
    /// target isn't another voter.
    pub fn transfer_leadership(
        &mut self,
        target: ReplicaId,
        now: Millis,
    ) -> Result<(), QuorumError> {
        self.advance_clock(now);
        self.check_accepts_requests()?;
        if target == self.id || !self.membership().is_voter(&target) {
            return Err(QuorumError::WrongMember { id: target });
        }
        let deadline_ms = self.now + self.settings.election_max_ms;
        if let Some(leadership) = &mut self.leadership {
            leadership.transfer = Some(Transfer {
                target,
                deadline_ms,
                is_timeout_now_sent: false,
            });
        }
        self.send_timeout_now_if_caught_up();
        Ok(())
    }

    /// The other voter with the highest match index, as target of a leadership transfer.
    #[must_use]
    pub fn best_transfer_target(&self) -> Option<ReplicaId> {
        let leadership = self.leadership.as_ref()?;
        let voters = &self.membership().voters;
        leadership
            .progress
            .iter()
            .filter(|(id, progress)| voters.contains(id) && progress.acked_sent_ms.is_some())
            .max_by_key(|(_, progress)| (progress.match_index, progress.acked_sent_ms))
            .map(|(id, _)| id.clone())
    }

    /// Last entry that a member is known to have synced. Only a leader knows it of other members.
    #[must_use]
    pub fn match_index(&self, id: &ReplicaId) -> Option<Index> {
        if *id == self.id {
            return Some(self.durable_index);
        }
        let progress = &self.leadership.as_ref()?.progress;
        progress.get(id).map(|progress| progress.match_index)
    }

    /// Members that have answered within the longest election timeout, and this leader. Empty if
    /// this replica isn't the leader.
    #[must_use]
    pub fn reachable_members(&self) -> BTreeSet<ReplicaId> {
        let Some(leadership) = &self.leadership else {
            return BTreeSet::new();
        };
        let oldest_ms = self.now - self.settings.election_max_ms;
        let mut reachable: BTreeSet<ReplicaId> = leadership
            .progress
            .iter()
            .filter(|(_, progress)| progress.acked_sent_ms.is_some_and(|sent| sent >= oldest_ms))
            .map(|(id, _)| id.clone())
            .collect();
        reachable.insert(self.id.clone());
        reachable
    }

    /// Reachable learners that may be promoted: their logs lack at most `promote_lag_entries`. Empty if this
    /// replica isn't the leader.
    #[must_use]
    pub fn caught_up_learners(&self) -> BTreeSet<ReplicaId> {
        let reachable = self.reachable_members();
        let learners = self.membership().learners.iter();
        let reachable = learners.filter(|id| reachable.contains(id));
        reachable
            .filter(|id| self.check_caught_up(id).is_ok())
            .cloned()
            .collect()
    }

    /// Checks that this leader may append a membership change.
    fn check_accepts_member_change(&self) -> Result<(), QuorumError> {
        self.check_accepts_requests()?;
        if !self.has_committed_in_term() && !self.has_injected_fault(InjectedFault::EarlyChange) {
            return Err(QuorumError::NotReady);
        }
        let index = self.log.last_membership_index();
        if index > self.commit_index {
            return Err(QuorumError::ChangePending { index });
        }
        Ok(())
    }

    /// Checks that a learner lags behind by at most `promote_lag_entries`.
    fn check_caught_up(&self, id: &ReplicaId) -> Result<(), QuorumError> {
        let match_index = self
            .leadership
            .as_ref()
            .and_then(|leadership| leadership.progress.get(id))
            .map_or(Index::ZERO, |progress| progress.match_index);
        let lag_entries = self.log.last_index().0 - match_index.0.min(self.log.last_index().0);
        let is_behind =
            match_index == Index::ZERO || lag_entries > self.settings.promote_lag_entries;
        if is_behind && !self.has_injected_fault(InjectedFault::PromoteBehind) {
            return Err(QuorumError::LearnerBehind {
                id: id.clone(),
                matched: match_index,
            });
        }
        Ok(())
    }

    /// Checks that a majority of the voters of a new membership can be reached.
    fn check_reachable(&self, membership: &Membership) -> Result<(), QuorumError> {
        let is_skipped = self.has_injected_fault(InjectedFault::SkipReachableCheck);
        if is_skipped || membership.has_quorum(&self.reachable_members()) {
            Ok(())
        } else {
            Err(QuorumError::QuorumAtRisk)
        }
    }

    fn append_membership(&mut self, membership: Membership) -> Index {
        let index = self.append_new_entry(Payload::Membership(membership));
        self.update_tracked_members();
        index
    }

    /// Lets a leader step down that isn't a voter any more, once its removal is committed.
    pub(super) fn step_down_if_removed(&mut self) {
        let is_removed = !self.membership().is_voter(&self.id);
        if is_removed && self.log.last_membership_index() <= self.commit_index {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Tells the target of a leadership transfer to start an election, once its log is complete.
    pub(super) fn send_timeout_now_if_caught_up(&mut self) {
        let term = self.hard_state.term;
        let last_index = self.log.last_index();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(transfer) = &mut leadership.transfer else {
            return;
        };
        let is_behind = leadership
            .progress
            .get(&transfer.target)
            .is_none_or(|progress| progress.match_index < last_index);
        if transfer.is_timeout_now_sent || is_behind {
            return;
        }
        transfer.is_timeout_now_sent = true;
        let target = transfer.target.clone();
        self.send(target, Message::TimeoutNow { term });
    }

    /// Ends a leadership transfer that has passed its deadline. A target that was told to start an
    /// election may win it at any time, so this leader steps down instead of continuing.
    pub(super) fn check_transfer_deadline(&mut self) {
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
        if transfer.is_timeout_now_sent {
            self.become_follower(self.hard_state.term, None);
        } else {
            leadership.transfer = None;
        }
    }
}
