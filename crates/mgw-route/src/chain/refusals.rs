//! What this entry and the others know of refusals for lack of room.

use std::net::SocketAddr;

use mgw_world::{LayerRange, Millis};

use super::FullTarget;
use super::cost::Utilization;
use super::crossing::scatter;
use super::entry_load::{report_interval_ms, report_valid_ms};
use super::fleet::Member;
use super::router::{ChainReservation, ChainRouter, Reservation};

/// Report intervals after which a sum of reports holds none from before a refusal: one until each
/// entry has reported, and one until this entry asks for the sum.
const SETTLED_INTERVALS: u64 = 2;

impl ChainRouter {
    /// Records that a target of a chain refused the request for lack of room: what it holds now by
    /// estimate, without this request, is all that it can hold.
    pub fn record_full(&mut self, reservation: ChainReservation, address: SocketAddr, now: Millis) {
        if !self.learns_room {
            return;
        }
        let (settings, other_entries) = (self.settings, self.other_entries(now));
        let Some(reserved) = self.reservations.get(reservation) else {
            return;
        };
        for &(key, layers) in &reserved.parts {
            let member = self.fleet.get_mut(key);
            // A target that answers no probe refuses for another reason.
            if member.target.address != address || member.health.is_lost() {
                continue;
            }
            let utilization = Utilization::of(member, other_entries, &settings).max_share();
            let refused_share = reserved.share_of(member, layers);
            member
                .room
                .record_own_refusal(utilization - refused_share, now);
        }
    }

    /// Lowers the room of targets that refused requests of any entry; returns how many of the
    /// refusals were unknown.
    pub fn learn_full_targets(&mut self, full: &[FullTarget], now: Millis) -> usize {
        if !self.learns_room {
            return 0;
        }
        let (settings, other_entries) = (self.settings, self.other_entries(now));
        let valid_ms = report_valid_ms(settings.entries);
        let mut learnt = 0;
        for target in full.iter().filter(|target| target.age_ms <= valid_ms) {
            let refused_at = now - target.age_ms;
            for member in self.fleet.at_address(target.address) {
                let utilization = Utilization::of(member, other_entries, &settings).max_share();
                let is_new = member.room.learn_refusal(utilization, refused_at, now);
                learnt += usize::from(is_new);
            }
        }
        learnt
    }

    /// Targets that recently refused a request of this entry for lack of room.
    #[must_use]
    pub fn own_full_targets(&self, now: Millis) -> Vec<FullTarget> {
        let valid_ms = report_valid_ms(self.settings.entries);
        let listed = self.fleet.iter();
        let full = listed.filter_map(|(_, member)| {
            let age_ms = member.room.own_refusal_age_ms(valid_ms, now)?;
            Some(FullTarget {
                address: member.target.address,
                age_ms,
            })
        });
        full.collect()
    }

    /// Number of targets that are believed to have less room than their memory, after a refusal.
    #[must_use]
    pub fn count_full_targets(&self, now: Millis) -> usize {
        let max_utilization = self.settings.max_utilization;
        let listed = self.fleet.iter();
        let limited = listed.filter(|(_, member)| member.room.is_limited(max_utilization, now));
        limited.count()
    }

    /// Draws this entry's turn, one for each zone: a chain needs its turn at all targets, and mostly
    /// stays in a zone.
    pub(super) fn draw_turns(&mut self, now: Millis) {
        let places = self.list_places();
        for member in self.fleet.iter_mut() {
            let at = places.binary_search(&member.target.place);
            let at = at.unwrap_or_default() as f64;
            member.turn = (scatter(now) + at / places.len() as f64).fract();
        }
    }

    /// Raises the room of targets that hold more by newer reports than at their refusal.
    pub(super) fn raise_room(&mut self, now: Millis) {
        let (settings, other_entries) = (self.settings, self.other_entries(now));
        let report_ms = report_interval_ms(settings.entries).times(SETTLED_INTERVALS);
        for member in self.fleet.iter_mut() {
            let utilization = Utilization::of(member, other_entries, &settings).max_share();
            member.room.record_report(utilization, report_ms, now);
        }
    }

    /// Raises the room of a chain's targets with the first token that arrives over it.
    pub(super) fn record_begun(&mut self, reservation: ChainReservation) {
        let Some(reserved) = self.reservations.get_mut(reservation) else {
            return;
        };
        if std::mem::replace(&mut reserved.has_begun, true) {
            return;
        }
        for (key, layers) in &reserved.parts {
            let member = self.fleet.get_mut(*key);
            let share = reserved.share_of(member, *layers);
            member.room.record_begun(share, reserved.chosen_at);
        }
    }
}

impl Reservation {
    /// Fraction of a target's KV cache that the request may need for these layers.
    fn share_of(&self, member: &Member, layers: LayerRange) -> f64 {
        let token_layers = self.kv_tokens * f64::from(layers.count());
        token_layers / member.capacity_token_layers.max(1.0)
    }
}
