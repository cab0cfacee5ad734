//! Announcements of targets and the leases that this node grants as their home.

use std::collections::BTreeSet;

use mgw_contract::target::{Announcement, Readiness};
use mgw_world::{Incarnation, Millis, Target, TargetName};

use super::core::{LocalTarget, NewsOrder, View};
use crate::{LoadLevel, NodeId, TrustSettings, Vouch, VouchState};

/// What this node knows of a target that announces itself here.
#[derive(Debug, Clone)]
pub(crate) struct Lease {
    pub renewed_at: Millis,
    pub latest: NewsOrder,
    pub readiness: Readiness,
    pub target: Target,
}

/// What became of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The lease is granted or renewed.
    Renewed {
        /// Whether the target is asked to leave.
        drain: bool,
    },
    /// A newer announcement is known; this one changes nothing.
    Outdated {
        /// Newest incarnation known.
        newest: Incarnation,
    },
}

impl View {
    /// Takes a target's announcement as its home.
    pub fn announce(&mut self, announcement: &Announcement, now: Millis) -> AnnounceOutcome {
        let target = &announcement.target;
        let order = (target.incarnation, announcement.sequence);
        let newest = self.newest(&target.name);
        if order < newest {
            return AnnounceOutcome::Outdated { newest: newest.0 };
        }
        let lease = Lease {
            renewed_at: now,
            latest: order,
            readiness: announcement.readiness,
            target: target.clone(),
        };
        self.leases.insert(target.name.clone(), lease);
        self.local.entry(target.name.clone()).or_default().newest = order;
        let load = LoadLevel::of(&announcement.load, &target.limits);
        self.vouch_for(&target.name.clone(), Some(load), now);
        AnnounceOutcome::Renewed {
            drain: self.excluded.contains(&target.name),
        }
    }

    /// Sets which targets get no new work by an operator's order: drained ones and those that the
    /// inventory doesn't hold. A home tells all others.
    pub fn set_excluded(&mut self, excluded: BTreeSet<TargetName>, now: Millis) {
        self.excluded = excluded;
        let names: Vec<TargetName> = self.leases.keys().cloned().collect();
        for name in names {
            self.vouch_for(&name, None, now);
        }
    }

    fn newest(&self, name: &TargetName) -> NewsOrder {
        self.local
            .get(name)
            .map_or_else(NewsOrder::default, |l| l.newest)
    }

    /// Brings this node's own record of a target in line with its lease.
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
        let others = self.newest_elsewhere(name);
        let own = self.origins.get_mut(&self.me);
        let held = own.and_then(|own| own.targets.get_mut(name));
        if let Some(held) = held {
            held.load = load.unwrap_or(held.load);
            let published = (held.vouch.target.incarnation, held.vouch.sequence);
            let same = held.vouch.state == state && held.vouch.target == lease.target;
            if same && Some(published) >= others {
                return;
            }
        }
        let vouch = Vouch {
            target: lease.target.clone(),
            sequence: lease.latest.1,
            state,
        };
        let load = load.unwrap_or_default();
        self.own_mut().vouch(vouch, load);
        self.reindex(vec![name.clone()], now);
    }

    fn newest_elsewhere(&self, name: &TargetName) -> Option<NewsOrder> {
        let local = self.local.get(name)?;
        let homes = local.homes.iter().filter(|id| **id != self.me);
        homes.filter_map(|id| self.order_at(*id, name)).max()
    }

    pub(crate) fn order_at(&self, id: NodeId, name: &TargetName) -> Option<NewsOrder> {
        let vouch = &self.origins.get(&id)?.targets.get(name)?.vouch;
        Some((vouch.target.incarnation, vouch.sequence))
    }

    pub(crate) fn end_leases(&mut self, now: Millis) {
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
                self.give_up(&name, now);
            }
        }
    }

    /// Ends this node's word for targets that have a newer home.
    pub(crate) fn release_moved(&mut self, now: Millis) {
        let moved: Vec<TargetName> = self
            .leases
            .iter()
            .filter(|(name, lease)| self.newest_elsewhere(name) > Some(lease.latest))
            .map(|(name, _)| name.clone())
            .collect();
        for name in moved {
            self.give_up(&name, now);
        }
    }

    fn give_up(&mut self, name: &TargetName, now: Millis) {
        self.leases.remove(name);
        self.own_mut().release(name, now);
        self.reindex(vec![name.clone()], now);
    }

    /// Brings the index of homes in line with the records after these targets changed.
    pub(crate) fn reindex(&mut self, names: Vec<TargetName>, now: Millis) {
        for name in names {
            let homes: BTreeSet<NodeId> = self
                .origins
                .iter()
                .filter(|(_, origin)| origin.targets.contains_key(&name))
                .map(|(id, _)| *id)
                .collect();
            let local = self.local.entry(name.clone()).or_default();
            local.homes = homes;
            local.touched_at = now;
            self.follow_readiness(&name, now);
        }
    }

    fn follow_readiness(&mut self, name: &TargetName, now: Millis) {
        let Some((_, held)) = self.best_vouch(name) else {
            return;
        };
        let order = (held.vouch.target.incarnation, held.vouch.sequence);
        let ready = held.vouch.state == VouchState::Announced(Readiness::Ready);
        let looked_before = self.complete;
        let trust = self.settings.trust;
        if let Some(local) = self.local.get_mut(name) {
            local.newest = local.newest.max(order);
            if ready {
                local.mark_ready(order.0, looked_before, &trust, now);
            }
            local.was_ready = ready;
        }
    }
}

impl LocalTarget {
    /// Starts the warm-up of a target that became ready, and counts a return as a flap.
    fn mark_ready(
        &mut self,
        incarnation: Incarnation,
        looked_before: bool,
        trust: &TrustSettings,
        now: Millis,
    ) {
        if self.was_ready && self.ready_incarnation == Some(incarnation) {
            return;
        }
        self.ready_since = looked_before.then_some(now);
        if self.ready_incarnation.is_some() && looked_before {
            self.trust.add(trust.flap_penalty, trust, now);
        }
        self.ready_incarnation = Some(incarnation);
    }
}
