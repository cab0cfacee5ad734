//! Which targets this node may choose, and how much of their usual share they get.

use mgw_contract::target::{LoadReport, Readiness};
use mgw_world::{Millis, NodeName, Target, TargetName};

use super::core::View;
use crate::origin::{Held, Origin};
use crate::trust::ramp;
use crate::{NodeId, VouchState};

/// Smallest share of a target or entry that warms up.
const WARM_FLOOR: f64 = 0.1;

/// Why a target gets no new work from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum IneligibleReason {
    /// no home vouches for the target
    Unknown,
    /// the target loads weights
    Loading,
    /// the target leaves
    Leaving,
    /// an operator drains the target or took it out of the inventory
    Drained,
    /// the target's lease ran out
    Lapsed,
    /// the news of the target is too old to be sure of it
    Unsure,
    /// this node failed to reach the target lately
    Suspected,
}

/// A target that may be chosen now.
#[derive(Debug, Clone, Copy)]
pub struct EligibleTarget<'a> {
    /// The target.
    pub target: &'a Target,
    /// Its load as of the home's last news, rounded up.
    pub load: LoadReport,
    /// Age of that news.
    pub age_ms: Millis,
    /// Share of its usual work between 0 and 1, for warm-up and after failures.
    pub share: f64,
}

/// A target as an operator sees it from this node.
#[derive(Debug, Clone)]
pub struct TargetStatus<'a> {
    /// The target.
    pub target: &'a Target,
    /// The node that vouches for it.
    pub home: &'a NodeName,
    /// What that node says.
    pub state: VouchState,
    /// Age of that news.
    pub age_ms: Millis,
    /// Its load, rounded up.
    pub load: LoadReport,
    /// Why this node doesn't choose it, if so.
    pub ineligible_reason: Option<IneligibleReason>,
}

impl View {
    /// Whether a target may get new work from this node now.
    ///
    /// # Errors
    /// The reason why not.
    pub fn eligible_target(
        &self,
        name: &TargetName,
        now: Millis,
    ) -> Result<EligibleTarget<'_>, IneligibleReason> {
        let (id, held) = self.best_vouch(name).ok_or(IneligibleReason::Unknown)?;
        let local = self.local.get(name).ok_or(IneligibleReason::Unknown)?;
        let order = (held.vouch.target.incarnation, held.vouch.sequence);
        if id != self.me && order < local.newest {
            return Err(IneligibleReason::Unsure);
        }
        check_state(held.vouch.state)?;
        if self.excluded.contains(name) {
            return Err(IneligibleReason::Drained);
        }
        let age_ms = self.age_of(id, &self.origins[&id], now);
        if age_ms > self.settings.sure_ms || !self.is_lease_running(id, name, now) {
            return Err(IneligibleReason::Unsure);
        }
        let trust = &self.settings.trust;
        if local.trust.is_suspected(trust, now) {
            return Err(IneligibleReason::Suspected);
        }
        let warm = local.ready_since.map_or(1.0, |since| {
            ramp(now - since, self.settings.warm_ms, WARM_FLOOR)
        });
        Ok(EligibleTarget {
            target: &held.vouch.target,
            load: held.load.report(&held.vouch.target.limits),
            age_ms,
            share: warm * local.trust.share(trust, now),
        })
    }

    /// All targets that may get new work from this node now, in order of name.
    #[must_use]
    pub fn eligible_targets(&self, now: Millis) -> Vec<EligibleTarget<'_>> {
        let names = self.local.keys();
        names
            .filter_map(|name| self.eligible_target(name, now).ok())
            .collect()
    }

    /// All targets known here, in order of name.
    #[must_use]
    pub fn targets(&self, now: Millis) -> Vec<TargetStatus<'_>> {
        let known = self.local.keys();
        known
            .filter_map(|name| self.target_status(name, now))
            .collect()
    }

    /// Share of its usual work that this node itself takes after its start, between 0 and 1.
    #[must_use]
    pub fn warm_share(&self, now: Millis) -> f64 {
        ramp(now - self.started_at, self.settings.warm_ms, WARM_FLOOR)
    }

    /// Notes that this node failed to reach a target. Other nodes aren't told.
    pub fn target_failed(&mut self, name: &TargetName, now: Millis) {
        let trust = self.settings.trust;
        if let Some(local) = self.local.get_mut(name) {
            local.trust.add(trust.failure_penalty, &trust, now);
        }
    }

    /// Notes that a call to a target went well.
    pub fn target_answered(&mut self, name: &TargetName, now: Millis) {
        let trust = self.settings.trust;
        if let Some(local) = self.local.get_mut(name) {
            local.trust.forgive(&trust, now);
        }
    }

    /// The newest word on a target; on equal news the lapsed one goes last, then the id decides.
    pub(crate) fn best_vouch(&self, name: &TargetName) -> Option<(NodeId, &Held)> {
        let homes = self.local.get(name)?.homes.iter();
        let held = homes.filter_map(|id| {
            let held = self.origins.get(id)?.targets.get(name)?;
            Some((*id, held))
        });
        held.max_by_key(|(id, held)| {
            let vouch = &held.vouch;
            let lasts = vouch.state != VouchState::Lapsed;
            (vouch.target.incarnation, vouch.sequence, lasts, *id)
        })
    }

    /// Whether the lease runs, for a target whose home is this node.
    fn is_lease_running(&self, id: NodeId, name: &TargetName, now: Millis) -> bool {
        id != self.me
            || self
                .leases
                .get(name)
                .is_some_and(|lease| now - lease.renewed_at <= self.settings.lease_ms)
    }

    fn target_status(&self, name: &TargetName, now: Millis) -> Option<TargetStatus<'_>> {
        let (id, held) = self.best_vouch(name)?;
        let origin: &Origin = self.origins.get(&id)?;
        Some(TargetStatus {
            target: &held.vouch.target,
            home: &origin.info.name,
            state: held.vouch.state,
            age_ms: self.age_of(id, origin, now),
            load: held.load.report(&held.vouch.target.limits),
            ineligible_reason: self.eligible_target(name, now).err(),
        })
    }
}

const fn check_state(state: VouchState) -> Result<(), IneligibleReason> {
    match state {
        VouchState::Announced(Readiness::Ready) => Ok(()),
        VouchState::Announced(Readiness::Loading) => Err(IneligibleReason::Loading),
        VouchState::Announced(Readiness::Leaving) => Err(IneligibleReason::Leaving),
        VouchState::Drained => Err(IneligibleReason::Drained),
        VouchState::Lapsed => Err(IneligibleReason::Lapsed),
    }
}
