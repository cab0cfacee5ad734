//! What a router holds against its targets: silence under requests, broken connections, probes.

use mgw_world::{Millis, TargetName};

use super::health::{HealthSettings, ProbeOutcome, Standing};
use super::router::{ChainReservation, ChainRouter, Hop};

/// Targets of a chain that may be at fault.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SilentTargets {
    /// Targets that brought no token to any request.
    pub count: usize,
    /// Those of them to probe now.
    pub to_probe: Vec<Hop>,
}

impl ChainRouter {
    /// Notes that a token came through a chain.
    pub fn record_token(&mut self, reservation: ChainReservation, now: Millis) {
        let Some(held) = self.reservations.get(reservation) else {
            return;
        };
        for (key, _) in &held.parts {
            self.fleet.get_mut(*key).standing.hear(now);
        }
    }

    /// Notes that a request on a chain waits: its targets that have brought no token to any request
    /// for `silence_ms` are left out until a probe clears them; one that answered a probe a moment
    /// ago isn't.
    pub fn suspect_silent_targets(
        &mut self,
        reservation: ChainReservation,
        silence_ms: Millis,
        now: Millis,
    ) -> SilentTargets {
        let evidence = self.settings.health;
        let mut suspicion = SilentTargets::default();
        let Some(held) = self.reservations.get(reservation) else {
            return suspicion;
        };
        for &(key, layers) in &held.parts {
            let member = self.fleet.get_mut(key);
            if now - member.standing.heard_at < silence_ms {
                continue;
            }
            suspicion.count += 1;
            if member.standing.take_probe(evidence.probe_pause_ms, now) {
                member.standing.suspect(now + evidence.suspected_ms);
                suspicion.to_probe.push(member.target.to_hop(layers));
            }
        }
        suspicion
    }

    /// Whether a target of a chain didn't answer its last probe and has brought nothing since.
    #[must_use]
    pub fn has_lost_target(&self, reservation: ChainReservation) -> bool {
        let held = self.reservations.get(reservation);
        let mut parts = held.iter().flat_map(|held| &held.parts);
        parts.any(|(key, _)| self.fleet.get(*key).standing.is_lost())
    }

    /// Leaves the targets of a chain out for a while that have brought no token to any request for
    /// `silence_ms`, whatever they answer to a probe: requests are the better evidence.
    pub fn block_silent_targets(
        &mut self,
        reservation: ChainReservation,
        silence_ms: Millis,
        now: Millis,
    ) {
        let until = now + self.settings.health.blocked_ms;
        let Some(held) = self.reservations.get(reservation) else {
            return;
        };
        for (key, _) in &held.parts {
            let standing = &mut self.fleet.get_mut(*key).standing;
            if now - standing.heard_at >= silence_ms {
                standing.block(until);
            }
        }
    }

    /// Shortest time between two probes of a slow target by this entry.
    fn inspect_pause_ms(&self) -> Millis {
        let evidence = self.settings.health;
        let entries = u64::from(self.settings.entries);
        evidence
            .inspect_pause_ms
            .times(entries)
            .max(evidence.probe_pause_ms)
    }

    /// Targets of a chain to probe because a request on it goes slowly; nothing is held against
    /// them yet.
    pub fn start_slowness_probes(
        &mut self,
        reservation: ChainReservation,
        now: Millis,
    ) -> Vec<Hop> {
        let pause_ms = self.inspect_pause_ms();
        let Some(held) = self.reservations.get(reservation) else {
            return Vec::new();
        };
        let mut due = Vec::new();
        for &(key, layers) in &held.parts {
            let member = self.fleet.get_mut(key);
            if member.standing.take_probe(pause_ms, now) {
                due.push(member.target.to_hop(layers));
            }
        }
        due
    }

    /// Leaves a target out for a while because it said that it can't take part.
    pub fn block(&mut self, name: &TargetName, now: Millis) {
        let until = now + self.settings.health.blocked_ms;
        if let Some(standing) = self.standing_of(name) {
            standing.block(until);
        }
    }

    /// Leaves a target out for a while, or until a probe clears it, because a connection to it
    /// broke.
    pub fn record_broken_connection(&mut self, name: &TargetName, now: Millis) {
        let until = now + self.settings.health.blocked_ms;
        if let Some(standing) = self.standing_of(name) {
            standing.suspect(until);
        }
    }

    /// Takes the answer to a probe.
    pub fn record_probe(&mut self, name: &TargetName, outcome: ProbeOutcome, now: Millis) {
        // What a probe showed is believed at least until the next one may be sent.
        let believed_ms = self.settings.health.slow_ms.max(self.inspect_pause_ms());
        let evidence = HealthSettings {
            slow_ms: believed_ms,
            ..self.settings.health
        };
        if let Some(standing) = self.standing_of(name) {
            standing.take_outcome(outcome, &evidence, now);
        }
    }

    fn standing_of(&mut self, name: &TargetName) -> Option<&mut Standing> {
        let key = self.fleet.find(name)?;
        Some(&mut self.fleet.get_mut(key).standing)
    }
}
