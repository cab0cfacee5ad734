//! Which targets are eligible for new work from this node, and at which share of their usual work.

use mgw_contract::target::{LoadReport, Readiness};
use mgw_world::{Millis, NodeName, Target, TargetName};

use super::core::View;
use crate::record::{NodeRecord, TargetRecord};
use crate::trust::ramp;
use crate::{NodeId, VouchState};

/// Minimum share of a target or entry during its warm-up.
const MIN_WARM_UP_SHARE: f64 = 0.1;

/// Why a target gets no new work from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum IneligibleReason {
    /// no node's record contains the target
    Unknown,
    /// the target is loading its weights
    Loading,
    /// the target is leaving
    Leaving,
    /// an operator drains the target or removed it from the inventory
    Drained,
    /// the target's lease expired
    Lapsed,
    /// the information about the target is too old
    Unsure,
    /// recent connections from this node to the target failed
    Suspected,
}

/// A target that is eligible for new work.
#[derive(Debug, Clone, Copy)]
pub struct EligibleTarget<'a> {
    /// Description that the target announced.
    pub target: &'a Target,
    /// Load that its home last published, rounded up.
    pub load: LoadReport,
    /// Age of the home's record.
    pub age_ms: Millis,
    /// Share of its usual work between 0 and 1; below 1 during warm-up and after failures.
    pub share: f64,
}

/// Status of a target in this view.
#[derive(Debug, Clone)]
pub struct TargetStatus<'a> {
    /// Description that the target announced.
    pub target: &'a Target,
    /// Name of its home, the node that vouches for it.
    pub home: &'a NodeName,
    /// State that the home published.
    pub state: VouchState,
    /// Age of the home's record.
    pub age_ms: Millis,
    /// Whether this node knows a newer announcement of the target, which no node vouches for any more. The state is
    /// then out of date.
    pub is_superseded: bool,
    /// Load that the home published, rounded up.
    pub load: LoadReport,
    /// Why the target gets no new work from this node; `None` if it is eligible.
    pub ineligible_reason: Option<IneligibleReason>,
}

impl View {
    /// The target, if it is eligible for new work from this node now.
    ///
    /// # Errors
    /// The reason why the target is not eligible.
    pub fn eligible_target(
        &self,
        name: &TargetName,
        now: Millis,
    ) -> Result<EligibleTarget<'_>, IneligibleReason> {
        let (id, target_record) = self.newest_vouch(name).ok_or(IneligibleReason::Unknown)?;
        let local = self.local.get(name).ok_or(IneligibleReason::Unknown)?;
        if self.is_superseded(name, id, target_record) {
            return Err(IneligibleReason::Unsure);
        }
        check_state(target_record.vouch.state)?;
        if self.excluded.contains(name) {
            return Err(IneligibleReason::Drained);
        }
        let age_ms = self.age_of(id, &self.records[&id], now);
        if age_ms > self.settings.sure_ms || !self.has_valid_lease(id, name, now) {
            return Err(IneligibleReason::Unsure);
        }
        let trust = &self.settings.trust;
        if local.trust.is_suspected(trust, now) {
            return Err(IneligibleReason::Suspected);
        }
        let warm_up_share = local.ready_since.map_or(1.0, |since| {
            ramp(now - since, self.settings.warm_ms, MIN_WARM_UP_SHARE)
        });
        Ok(EligibleTarget {
            target: &target_record.vouch.target,
            load: target_record
                .load
                .report(&target_record.vouch.target.limits),
            age_ms,
            share: warm_up_share * local.trust.share(trust, now),
        })
    }

    /// All targets that are eligible for new work from this node now, in order of name.
    #[must_use]
    pub fn eligible_targets(&self, now: Millis) -> Vec<EligibleTarget<'_>> {
        let names = self.local.keys();
        names
            .filter_map(|name| self.eligible_target(name, now).ok())
            .collect()
    }

    /// All known targets in order of name.
    #[must_use]
    pub fn targets(&self, now: Millis) -> Vec<TargetStatus<'_>> {
        let names = self.local.keys();
        names
            .filter_map(|name| self.target_status(name, now))
            .collect()
    }

    /// Share of its usual work that this node itself accepts during its warm-up, between 0 and 1.
    #[must_use]
    pub fn warm_share(&self, now: Millis) -> f64 {
        ramp(
            now - self.started_at,
            self.settings.warm_ms,
            MIN_WARM_UP_SHARE,
        )
    }

    /// Records that this node failed to reach a target. This isn't published to other nodes.
    pub fn target_failed(&mut self, name: &TargetName, now: Millis) {
        let trust = self.settings.trust;
        if let Some(local) = self.local.get_mut(name) {
            local.trust.add_penalty(trust.failure_penalty, &trust, now);
        }
    }

    /// Records a successful call to a target.
    pub fn target_answered(&mut self, name: &TargetName, now: Millis) {
        let trust = self.settings.trust;
        if let Some(local) = self.local.get_mut(name) {
            local.trust.record_success(&trust, now);
        }
    }

    /// The newest vouch for a target and the node that published it. Between vouches for the same
    /// announcement, one that hasn't lapsed wins, then the higher node id.
    pub(crate) fn newest_vouch(&self, name: &TargetName) -> Option<(NodeId, &TargetRecord)> {
        let homes = self.local.get(name)?.homes.iter();
        let candidates = homes.filter_map(|id| {
            let target_record = self.records.get(id)?.targets.get(name)?;
            Some((*id, target_record))
        });
        candidates.max_by_key(|(id, target_record)| {
            let vouch = &target_record.vouch;
            let is_unexpired = vouch.state != VouchState::Lapsed;
            (vouch.target.incarnation, vouch.sequence, is_unexpired, *id)
        })
    }

    /// Whether a vouch of another node is older than the newest announcement that this node knows.
    fn is_superseded(&self, name: &TargetName, id: NodeId, target_record: &TargetRecord) -> bool {
        let vouch = &target_record.vouch;
        let order = (vouch.target.incarnation, vouch.sequence);
        let newest = self.local.get(name).map(|local| local.newest_order);
        id != self.own_id && Some(order) < newest
    }

    /// Whether the lease is valid, if this node is the home; always true for another home.
    fn has_valid_lease(&self, id: NodeId, name: &TargetName, now: Millis) -> bool {
        id != self.own_id
            || self
                .leases
                .get(name)
                .is_some_and(|lease| now - lease.renewed_at <= self.settings.lease_ms)
    }

    fn target_status(&self, name: &TargetName, now: Millis) -> Option<TargetStatus<'_>> {
        let (id, target_record) = self.newest_vouch(name)?;
        let record: &NodeRecord = self.records.get(&id)?;
        Some(TargetStatus {
            target: &target_record.vouch.target,
            home: &record.info.name,
            state: target_record.vouch.state,
            age_ms: self.age_of(id, record, now),
            is_superseded: self.is_superseded(name, id, target_record),
            load: target_record
                .load
                .report(&target_record.vouch.target.limits),
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
