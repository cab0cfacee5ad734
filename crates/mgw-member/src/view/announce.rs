//! Announcements of targets, and the leases that this node grants as their home.

use std::collections::{BTreeMap, BTreeSet};

use mgw_contract::target::{Announcement, Readiness};
use mgw_world::{Incarnation, Millis, Target, TargetName};

use super::core::{AnnouncementOrder, LocalTarget, View};
use crate::{LoadLevel, NodeId, TrustSettings, Vouch, VouchState};

/// Lease of a target that announces itself to this node.
#[derive(Debug, Clone)]
pub(crate) struct Lease {
    pub renewed_at: Millis,
    /// Order of the announcement that last renewed the lease.
    pub newest_order: AnnouncementOrder,
    pub readiness: Readiness,
    pub target: Target,
}

/// Result of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The lease was granted or renewed.
    Renewed {
        /// Whether the target is asked to leave, since an operator drains it or it isn't in the
        /// inventory.
        drain: bool,
    },
    /// A newer announcement is known; this one was ignored.
    Outdated {
        /// Newest incarnation that is known.
        newest: Incarnation,
    },
}

impl View {
    /// Processes a target's announcement; this node becomes the target's home.
    pub fn announce(&mut self, announcement: &Announcement, now: Millis) -> AnnounceOutcome {
        let target = &announcement.target;
        let order = (target.incarnation, announcement.sequence);
        let newest = self.newest_order(&target.name);
        if order < newest || self.has_left(announcement) {
            return AnnounceOutcome::Outdated { newest: newest.0 };
        }
        let lease = Lease {
            renewed_at: now,
            newest_order: order,
            readiness: announcement.readiness,
            target: target.clone(),
        };
        self.leases.insert(target.name.clone(), lease);
        self.local
            .entry(target.name.clone())
            .or_default()
            .newest_order = order;
        let load = LoadLevel::of(&announcement.load, &target.limits);
        self.vouch_for(&target.name.clone(), Some(load), now);
        AnnounceOutcome::Renewed {
            drain: self.excluded.contains(&target.name),
        }
    }

    /// Sets the targets that get no new work by an operator's order: those that are drained and
    /// those that aren't in the inventory. A home publishes this for its targets to all nodes.
    pub fn set_excluded(&mut self, excluded: BTreeSet<TargetName>, now: Millis) {
        self.excluded = excluded;
        let names: Vec<TargetName> = self.leases.keys().cloned().collect();
        for name in names {
            self.vouch_for(&name, None, now);
        }
    }

    /// Sets the targets that are leaving by a record that outlasts this node, each with its newest leaving
    /// incarnation. This node vouches for none of these as ready, whatever it heard of them.
    pub fn set_leaving(&mut self, leaving: BTreeMap<TargetName, Incarnation>, now: Millis) {
        self.leaving = leaving;
        let leases = self.leases.iter();
        let vouched: Vec<Target> = leases
            .filter(|(name, lease)| {
                let is_leaving = lease.readiness == Readiness::Leaving;
                !is_leaving && self.is_leaving(name, lease.target.incarnation)
            })
            .map(|(_, lease)| lease.target.clone())
            .collect();
        for target in vouched {
            self.announce_leaving(target, now);
        }
    }

    /// Whether an announcement says less than is known of the target: that it is leaving.
    fn has_left(&self, announcement: &Announcement) -> bool {
        let target = &announcement.target;
        let is_leaving = announcement.readiness == Readiness::Leaving;
        !is_leaving && self.is_leaving(&target.name, target.incarnation)
    }

    fn is_leaving(&self, name: &TargetName, incarnation: Incarnation) -> bool {
        self.leaving
            .get(name)
            .is_some_and(|newest| incarnation <= *newest)
    }

    fn newest_order(&self, name: &TargetName) -> AnnouncementOrder {
        self.local
            .get(name)
            .map_or_else(AnnouncementOrder::default, |local| local.newest_order)
    }

    /// Updates the target in this node's own record according to its lease.
    fn vouch_for(&mut self, name: &TargetName, load: Option<LoadLevel>, now: Millis) {
        let Some(lease) = self.leases.get(name) else {
            return;
        };
        let state = if now - lease.renewed_at > self.settings.lease_ms {
            VouchState::Lapsed
        } else if lease.readiness != Readiness::Leaving && self.excluded.contains(name) {
            VouchState::Drained
        } else {
            VouchState::Announced(lease.readiness)
        };
        let newest_elsewhere = self.newest_order_elsewhere(name);
        let own = self.records.get_mut(&self.own_id);
        let target_record = own.and_then(|own| own.targets.get_mut(name));
        if let Some(target_record) = target_record {
            target_record.load = load.unwrap_or(target_record.load);
            let published_order = (
                target_record.vouch.target.incarnation,
                target_record.vouch.sequence,
            );
            let is_unchanged =
                target_record.vouch.state == state && target_record.vouch.target == lease.target;
            if is_unchanged && Some(published_order) >= newest_elsewhere {
                return;
            }
        }
        let vouch = Vouch {
            target: lease.target.clone(),
            sequence: lease.newest_order.1,
            state,
        };
        let load = load.unwrap_or_default();
        self.own_mut().vouch(vouch, load);
        self.reindex_homes(vec![name.clone()], now);
    }

    fn newest_order_elsewhere(&self, name: &TargetName) -> Option<AnnouncementOrder> {
        let local = self.local.get(name)?;
        let other_homes = local.homes.iter().filter(|id| **id != self.own_id);
        other_homes
            .filter_map(|id| self.announcement_order_at(*id, name))
            .max()
    }

    pub(crate) fn announcement_order_at(
        &self,
        id: NodeId,
        name: &TargetName,
    ) -> Option<AnnouncementOrder> {
        let vouch = &self.records.get(&id)?.targets.get(name)?.vouch;
        Some((vouch.target.incarnation, vouch.sequence))
    }

    pub(crate) fn expire_leases(&mut self, now: Millis) {
        let lapsed_before = now - self.settings.lease_ms;
        let forget_before = now - self.settings.forget_ms;
        let lapsed: Vec<TargetName> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.renewed_at < lapsed_before)
            .map(|(name, _)| name.clone())
            .collect();
        for name in lapsed {
            self.vouch_for(&name, None, now);
            if self.leases[&name].renewed_at < forget_before {
                self.release_target(&name, now);
            }
        }
    }

    /// Releases targets that have announced themselves to another home since.
    pub(crate) fn release_moved_targets(&mut self, now: Millis) {
        let moved: Vec<TargetName> = self
            .leases
            .iter()
            .filter(|(name, lease)| self.newest_order_elsewhere(name) > Some(lease.newest_order))
            .map(|(name, _)| name.clone())
            .collect();
        for name in moved {
            self.release_target(&name, now);
        }
    }

    fn release_target(&mut self, name: &TargetName, now: Millis) {
        self.leases.remove(name);
        self.own_mut().release(name, now);
        self.reindex_homes(vec![name.clone()], now);
    }

    /// Rebuilds the index of homes for targets whose entries in the records changed.
    pub(crate) fn reindex_homes(&mut self, names: Vec<TargetName>, now: Millis) {
        for name in names {
            let homes: BTreeSet<NodeId> = self
                .records
                .iter()
                .filter(|(_, record)| record.targets.contains_key(&name))
                .map(|(id, _)| *id)
                .collect();
            let local = self.local.entry(name.clone()).or_default();
            local.homes = homes;
            local.updated_at = now;
            self.update_readiness(&name, now);
        }
    }

    fn update_readiness(&mut self, name: &TargetName, now: Millis) {
        let Some((_, target_record)) = self.newest_vouch(name) else {
            return;
        };
        let order = (
            target_record.vouch.target.incarnation,
            target_record.vouch.sequence,
        );
        let ready = target_record.vouch.state == VouchState::Announced(Readiness::Ready);
        let was_complete = self.complete;
        let trust = self.settings.trust;
        if let Some(local) = self.local.get_mut(name) {
            local.newest_order = local.newest_order.max(order);
            if ready {
                local.mark_ready(order.0, was_complete, &trust, now);
            }
            local.was_ready = ready;
        }
    }
}

impl LocalTarget {
    /// Starts the warm-up of a target that became ready. If it had been ready before, this counts
    /// as a flap.
    fn mark_ready(
        &mut self,
        incarnation: Incarnation,
        was_complete: bool,
        trust: &TrustSettings,
        now: Millis,
    ) {
        if self.was_ready && self.ready_incarnation == Some(incarnation) {
            return;
        }
        self.ready_since = was_complete.then_some(now);
        if self.ready_incarnation.is_some() && was_complete {
            self.trust.add_penalty(trust.flap_penalty, trust, now);
        }
        self.ready_incarnation = Some(incarnation);
    }
}
