//! Updates the health of targets from tokens, silence, broken connections and probes.

use mgw_world::{Millis, TargetName};

use super::health::{HealthSettings, ProbeOutcome, TargetHealth};
use super::router::{ChainReservation, ChainRouter, Hop};
use crate::exclusions::TargetRun;

/// Targets of a chain that may be at fault.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SilentTargets {
    /// Number of targets of the chain from which no request received a token recently.
    pub count: usize,
    /// Those of them for which a probe is due.
    pub to_probe: Vec<Hop>,
}

impl ChainRouter {
    /// Records that a token arrived through a chain.
    pub fn record_token(&mut self, reservation: ChainReservation, now: Millis) {
        self.record_begun(reservation);
        let Some(reserved) = self.reservations.get(reservation) else {
            return;
        };
        for (key, _) in &reserved.parts {
            self.fleet.get_mut(*key).health.record_token(now);
        }
    }

    /// Handles a request that waits for a token from its chain: targets from which no request
    /// received a token for `silence_ms` are suspected for a while, or until a probe or a token
    /// clears them. A target that was probed a moment ago is not suspected again.
    pub fn suspect_silent_targets(
        &mut self,
        reservation: ChainReservation,
        silence_ms: Millis,
        now: Millis,
    ) -> SilentTargets {
        let settings = self.settings.health;
        let mut silent = SilentTargets::default();
        let Some(reserved) = self.reservations.get(reservation) else {
            return silent;
        };
        for &(key, layers) in &reserved.parts {
            let member = self.fleet.get_mut(key);
            if now - member.health.last_token_at < silence_ms {
                continue;
            }
            silent.count += 1;
            if member
                .health
                .start_probe_if_due(settings.min_probe_interval_ms, now)
            {
                member.health.suspect(now + settings.suspected_ms);
                silent.to_probe.push(member.target.to_hop(layers));
            }
        }
        silent
    }

    /// Whether a target of a chain didn't answer its last probe and no token arrived from it since.
    #[must_use]
    pub fn has_lost_target(&self, reservation: ChainReservation) -> bool {
        let reserved = self.reservations.get(reservation);
        let mut parts = reserved.iter().flat_map(|reserved| &reserved.parts);
        parts.any(|(key, _)| self.fleet.get(*key).health.is_lost())
    }

    /// Targets of a chain whose process has ended by the last probe, without a token since.
    #[must_use]
    pub fn ended_targets(&self, reservation: ChainReservation) -> Vec<TargetRun> {
        let reserved = self.reservations.get(reservation);
        let parts = reserved.iter().flat_map(|reserved| &reserved.parts);
        let members = parts.map(|(key, _)| self.fleet.get(*key));
        let ended = members.filter(|member| member.health.has_ended());
        ended.map(|member| member.target.run()).collect()
    }

    /// Blocks the targets of a chain from which no request received a token for `silence_ms`, even
    /// if they answer probes: requests are the better evidence.
    pub fn block_silent_targets(
        &mut self,
        reservation: ChainReservation,
        silence_ms: Millis,
        now: Millis,
    ) {
        let until = now + self.settings.health.blocked_ms;
        let Some(reserved) = self.reservations.get(reservation) else {
            return;
        };
        for (key, _) in &reserved.parts {
            let health = &mut self.fleet.get_mut(*key).health;
            if now - health.last_token_at >= silence_ms {
                health.block(until);
            }
        }
    }

    /// Shortest time between two probes of a slow target by this entry.
    fn slowness_probe_interval_ms(&self) -> Millis {
        let settings = self.settings.health;
        let entries = u64::from(self.settings.entries);
        settings
            .min_slowness_probe_interval_ms
            .times(entries)
            .max(settings.min_probe_interval_ms)
    }

    /// Returns the targets of a chain to probe now because a request on it is slow. They stay in
    /// use until a probe shows a fault.
    pub fn start_slowness_probes(
        &mut self,
        reservation: ChainReservation,
        now: Millis,
    ) -> Vec<Hop> {
        let interval_ms = self.slowness_probe_interval_ms();
        let Some(reserved) = self.reservations.get(reservation) else {
            return Vec::new();
        };
        let mut due = Vec::new();
        for &(key, layers) in &reserved.parts {
            let member = self.fleet.get_mut(key);
            if member.health.start_probe_if_due(interval_ms, now) {
                due.push(member.target.to_hop(layers));
            }
        }
        due
    }

    /// Blocks a target for a while because it reported that it can't take part in a chain.
    pub fn block(&mut self, name: &TargetName, now: Millis) {
        let until = now + self.settings.health.blocked_ms;
        if let Some(health) = self.health_of(name) {
            health.block(until);
        }
    }

    /// Leaves a target out of new chains until then because it asked for a pause.
    pub fn pause(&mut self, target: &TargetRun, until: Millis) {
        if let Some(member) = self.fleet.find_run(target) {
            member.health.pause(until);
        }
    }

    /// Suspects a target for a while, or until a probe clears it, because a connection to it broke.
    pub fn record_disconnect(&mut self, name: &TargetName, now: Millis) {
        let until = now + self.settings.health.blocked_ms;
        if let Some(health) = self.health_of(name) {
            health.suspect(until);
        }
    }

    /// Forgets which targets are suspected, as the entry's own links are the reason why they were silent.
    pub fn clear_suspicions(&mut self) {
        for member in self.fleet.iter_mut() {
            member.health.clear();
        }
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, name: &TargetName, outcome: ProbeOutcome, now: Millis) {
        // The measured slowness stays valid at least until the next probe may be sent.
        let valid_ms = self
            .settings
            .health
            .slowness_valid_ms
            .max(self.slowness_probe_interval_ms());
        let settings = HealthSettings {
            slowness_valid_ms: valid_ms,
            ..self.settings.health
        };
        if let Some(health) = self.health_of(name) {
            health.record_probe(outcome, &settings, now);
        }
    }

    fn health_of(&mut self, name: &TargetName) -> Option<&mut TargetHealth> {
        let key = self.fleet.find(name)?;
        Some(&mut self.fleet.get_mut(key).health)
    }
}
