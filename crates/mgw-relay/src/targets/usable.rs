//! The targets that may get new work, kept through the restart of a control.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mgw_contract::target::Readiness;
use mgw_member::{TargetStatus, VouchState};
use mgw_world::{Millis, Target, TargetName};

/// How long a target that no node vouches for any more stays usable: a control that restarts
/// forgets its targets until they announce themselves anew.
const UNVOUCHED_GRACE_MS: Millis = Millis(5_000);

/// A target that may get new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsableTarget {
    /// The target.
    pub target: Target,
    /// When a node last vouched for it.
    pub vouched_at: Millis,
}

/// All targets that may get new work.
#[derive(Debug, Default)]
pub struct UsableTargets {
    targets: BTreeMap<TargetName, UsableTarget>,
}

impl UsableTargets {
    /// Takes what the view holds now.
    pub fn update(&mut self, statuses: &[TargetStatus<'_>], now: Millis) {
        for status in statuses {
            let name = &status.target.name;
            if status.state == VouchState::Announced(Readiness::Ready) {
                let target = UsableTarget {
                    target: status.target.clone(),
                    vouched_at: now,
                };
                self.targets.insert(name.clone(), target);
            } else {
                self.targets.remove(name);
            }
        }
        self.targets
            .retain(|_, usable| now - usable.vouched_at <= UNVOUCHED_GRACE_MS);
        self.drop_replaced();
    }

    /// The targets, in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|usable| &usable.target)
    }

    /// Of two targets at one address only the one that started last is there.
    fn drop_replaced(&mut self) {
        let mut newest: BTreeMap<SocketAddr, &Target> = BTreeMap::new();
        for usable in self.targets.values() {
            let target = &usable.target;
            let newest_here = newest.entry(target.address).or_insert(target);
            if target.incarnation > newest_here.incarnation {
                *newest_here = target;
            }
        }
        let newest_names: Vec<TargetName> =
            newest.values().map(|target| target.name.clone()).collect();
        if newest_names.len() < self.targets.len() {
            self.targets.retain(|name, _| newest_names.contains(name));
        }
    }
}
