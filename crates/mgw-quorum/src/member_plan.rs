//! Plans the membership changes of a group whose machines are lost, replaced and restarted, so that it soon
//! bears the loss of one more voter.
//!
//! A majority is counted over all voters, those that are gone included. A replacement adds a voter, so the
//! one that it replaces has to be removed before the next one goes.

use crate::{Membership, ReplicaId};
use mgw_world::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// A change of a group's membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Add a replica that doesn't vote yet.
    AddLearner(ReplicaId),
    /// Give a learner a vote.
    Promote(ReplicaId),
    /// Remove a replica.
    Remove(ReplicaId),
}

/// What the leader of a group knows of its members.
#[derive(Debug, Clone, Copy)]
pub struct GroupStatus<'a> {
    /// Voters and learners.
    pub membership: &'a Membership,
    /// Members that answered recently, the leader included.
    pub reachable: &'a BTreeSet<ReplicaId>,
    /// Reachable learners that lack few entries of the log.
    pub caught_up: &'a BTreeSet<ReplicaId>,
    /// How long each unreachable member has been silent.
    pub silent_ms: &'a BTreeMap<ReplicaId, Millis>,
}

/// Plans membership changes, one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberPlanner {
    /// Silence after which a voter counts as lost. A removed voter that comes back joins again, so a wrong
    /// guess costs two changes.
    pub lost_after_ms: Millis,
    /// Silence after which a learner is removed. It counts for nothing, but the leader keeps sending to it.
    pub learner_lost_after_ms: Millis,
    /// Fewest voters that may remain after a removal of lost ones: so many disks hold each entry that
    /// a majority of them outlives the losses that the group must bear.
    pub min_voters: usize,
}

impl Default for MemberPlanner {
    fn default() -> Self {
        Self {
            lost_after_ms: Millis(2_000),
            learner_lost_after_ms: Millis(60_000),
            min_voters: 3,
        }
    }
}

impl MemberPlanner {
    /// A planner for a group that must bear the loss of so many disks.
    #[must_use]
    pub fn for_losses(losses: usize) -> Self {
        let default = Self::default();
        Self {
            min_voters: default.min_voters.max(2 * losses + 1),
            ..default
        }
    }

    /// The change that the leader should make now, if any. Promotions come first, so that the number of
    /// voters that run never falls.
    #[must_use]
    pub fn next_change(&self, group: &GroupStatus<'_>) -> Option<MemberChange> {
        plan_promotion(group)
            .or_else(|| self.plan_removal(group))
            .or_else(|| self.plan_learner_removal(group))
    }

    /// Whether a voter that stops should leave the group first: the others then bear one more loss than
    /// if it were only missing.
    #[must_use]
    pub fn should_leave(&self, id: &ReplicaId, membership: &Membership) -> bool {
        membership.is_voter(id) && self.may_remove(membership.voters.len(), 1)
    }

    /// Plans the removal of a lost voter.
    fn plan_removal(&self, group: &GroupStatus<'_>) -> Option<MemberChange> {
        let voters = &group.membership.voters;
        let mut lost: Vec<(&ReplicaId, Millis)> = voters
            .iter()
            .filter_map(|id| Some((id, *group.silent_ms.get(id)?)))
            .filter(|(_, silent_ms)| *silent_ms >= self.lost_after_ms)
            .collect();
        if !self.may_remove(voters.len(), lost.len()) {
            return None;
        }
        lost.sort_by_key(|(_, silent_ms)| *silent_ms);
        let (longest, _) = lost.pop()?;
        Some(MemberChange::Remove(longest.clone()))
    }

    /// Plans the removal of a lost learner.
    fn plan_learner_removal(&self, group: &GroupStatus<'_>) -> Option<MemberChange> {
        let mut learners = group.membership.learners.iter();
        let lost = learners.find(|id| {
            let silent_ms = group.silent_ms.get(id);
            silent_ms.is_some_and(|silent_ms| *silent_ms >= self.learner_lost_after_ms)
        });
        lost.map(|id| MemberChange::Remove(id.clone()))
    }

    /// Whether the removal of lost voters makes the group bear more losses. From an even number one removal
    /// lowers the majority, from an odd number only the second one does.
    const fn may_remove(&self, voters: usize, lost: usize) -> bool {
        let removed = if voters.is_multiple_of(2) { 1 } else { 2 };
        lost >= removed && voters >= self.min_voters + removed
    }
}

/// Plans the promotion of a learner, or first the removal of an unreachable replica of the same name, which
/// lost its disk. A learner whose predecessor still answers waits, and holds up no other.
fn plan_promotion(group: &GroupStatus<'_>) -> Option<MemberChange> {
    let members = group.membership;
    let all_members = || members.voters.iter().chain(&members.learners);
    group.caught_up.iter().find_map(|learner| {
        let mut predecessors = all_members().filter(|id| id.name == learner.name && *id != learner);
        match predecessors.next() {
            Some(predecessor) if group.reachable.contains(predecessor) => None,
            Some(predecessor) => Some(MemberChange::Remove(predecessor.clone())),
            None => Some(MemberChange::Promote(learner.clone())),
        }
    })
}
