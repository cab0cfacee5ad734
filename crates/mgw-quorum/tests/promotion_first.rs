//! A learner that may vote is promoted before a lost voter is removed: between the two changes the group
//! then has one voter more that runs, and not one less.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use mgw_quorum::{GroupStatus, MemberChange, MemberPlanner, Membership, ReplicaId};
use mgw_world::Millis;

const LOST_MS: Millis = Millis(60_000);

fn ids(names: impl IntoIterator<Item = usize>) -> BTreeSet<ReplicaId> {
    let id = |at| ReplicaId::new(format!("vm-{at:02}"), at as u64);
    names.into_iter().map(id).collect()
}

/// The change that is due while the last `lost` of the voters are silent and a learner has caught up.
fn next_change(voters: usize, lost: usize, min_losses: usize) -> Option<MemberChange> {
    let running = voters - lost;
    let learner = ids([voters]);
    let membership = Membership {
        voters: ids(0..voters),
        learners: learner.clone(),
    };
    let lost = ids(running..voters).into_iter();
    let silent_ms: BTreeMap<ReplicaId, Millis> = lost.map(|id| (id, LOST_MS)).collect();
    let reachable = ids((0..running).chain([voters]));
    let group = GroupStatus {
        membership: &membership,
        reachable: &reachable,
        caught_up: &learner,
        silent_ms: &silent_ms,
    };
    MemberPlanner::for_losses(min_losses).next_change(&group)
}

#[test]
fn a_learner_is_promoted_before_lost_voters_are_removed() {
    for (voters, lost, min_losses) in [(4, 1, 1), (5, 2, 1), (6, 1, 2), (7, 2, 2), (9, 2, 2)] {
        let promoted = ids([voters]).into_iter().next().unwrap();
        assert_eq!(
            next_change(voters, lost, min_losses),
            Some(MemberChange::Promote(promoted)),
            "{lost} of {voters} voters lost"
        );
    }
}
