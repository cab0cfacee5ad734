//! The targets that may get new work. They stay usable while a control restarts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mgw_contract::target::Readiness;
use mgw_member::{TargetStatus, VouchState};
use mgw_world::{Millis, ServiceName, Target, TargetName};

/// How long a target stays usable that no node vouches for any more: a control that restarts loses
/// its targets until they announce themselves again.
const UNVOUCHED_GRACE_MS: Millis = Millis(5_000);

/// A target that may get new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsableTarget {
    /// Description that the target announced.
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
    /// Updates the targets from their status in the view. A target of a service that isn't known gets no work, and
    /// takes no address from others.
    pub fn update(
        &mut self,
        statuses: &[TargetStatus<'_>],
        knows_service: impl Fn(&ServiceName) -> bool,
        now: Millis,
    ) {
        // A control that restarted may vouch by an announcement that is older than its target's newest one.
        let current = statuses.iter().filter(|status| {
            let service = status.target.service();
            !status.is_superseded && service.is_none_or(&knows_service)
        });
        for status in current {
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

    /// The targets, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|usable| &usable.target)
    }

    /// Removes targets whose address is now used by a target that started later.
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
