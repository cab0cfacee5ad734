//! What this process has met with at each target: silence, answers to probes, slowness.

use mgw_world::Millis;

/// Times of the judgement of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthSettings {
    /// How long a target is left out after it said that it can't take part now.
    pub blocked_ms: Millis,
    /// How long a target is left out that didn't answer a probe; past the end of its lease.
    pub dead_ms: Millis,
    /// How long a target is left out while nothing but a probe can tell whether it is at fault.
    pub suspected_ms: Millis,
    /// How long a target is left out that other entries have lost, unless it brings tokens here.
    pub lost_elsewhere_ms: Millis,
    /// Shortest time between two probes of a target.
    pub probe_pause_ms: Millis,
    /// Shortest time between two probes of a target that is only slow, for each entry: all entries
    /// together then ask it a bounded number of times a second.
    pub inspect_pause_ms: Millis,
    /// How long the slowness that a probe showed is believed.
    pub slow_ms: Millis,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            blocked_ms: Millis(1_000),
            dead_ms: Millis(6_000),
            suspected_ms: Millis(700),
            lost_elsewhere_ms: Millis(1_500),
            probe_pause_ms: Millis(1_500),
            inspect_pause_ms: Millis(300),
            slow_ms: Millis(4_000),
        }
    }
}

/// How long an entry tells the others of a probe that wasn't answered; it is repeated each second.
const LOST_WORD_MS: Millis = Millis(1_500);

/// Answer of a target to a probe.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProbeOutcome {
    /// It answered, and works at this multiple of its usual time.
    Alive {
        /// Factor on its usual time; 1 is usual.
        slowness: f64,
    },
    /// It refused the connection or didn't answer in time.
    Dead,
}

/// What is known of one target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Standing {
    /// When a token last came through it.
    pub heard_at: Millis,
    /// End of the time in which it is left out whatever a probe says.
    blocked_until: Millis,
    /// End of the time in which it is left out unless a probe or a token clears it.
    suspected_until: Millis,
    /// When it didn't answer its last probe; none once a token came through.
    lost_at: Option<Millis>,
    probed_at: Option<Millis>,
    slowness: f64,
    slow_until: Millis,
}

impl Standing {
    pub const fn new(now: Millis) -> Self {
        Self {
            heard_at: now,
            blocked_until: Millis::ZERO,
            suspected_until: Millis::ZERO,
            lost_at: None,
            probed_at: None,
            slowness: 1.0,
            slow_until: Millis::ZERO,
        }
    }

    pub fn is_blocked(&self, now: Millis) -> bool {
        now < self.blocked_until.max(self.suspected_until)
    }

    pub const fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether a probe has shown lately that it is lost.
    pub fn was_lost_lately(&self, now: Millis) -> bool {
        self.lost_at.is_some_and(|at| now - at <= LOST_WORD_MS)
    }

    /// Factor on the usual time, 1 once the last probe is too old.
    pub fn slowness(&self, now: Millis) -> f64 {
        if now < self.slow_until {
            self.slowness
        } else {
            1.0
        }
    }

    /// A token came through: that is better evidence than any probe.
    pub fn hear(&mut self, now: Millis) {
        self.heard_at = self.heard_at.max(now);
        self.clear();
    }

    const fn clear(&mut self) {
        self.suspected_until = Millis::ZERO;
        self.lost_at = None;
    }

    pub fn block(&mut self, until: Millis) {
        self.blocked_until = self.blocked_until.max(until);
    }

    pub fn suspect(&mut self, until: Millis) {
        self.suspected_until = self.suspected_until.max(until);
    }

    /// Whether a probe is due; notes that it is sent.
    pub fn take_probe(&mut self, pause_ms: Millis, now: Millis) -> bool {
        let is_due = self.probed_at.is_none_or(|at| now - at >= pause_ms);
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }

    pub fn take_outcome(&mut self, outcome: ProbeOutcome, settings: &HealthSettings, now: Millis) {
        match outcome {
            ProbeOutcome::Alive { slowness } => {
                self.clear();
                self.slowness = slowness.max(1.0);
                self.slow_until = now + settings.slow_ms;
            }
            ProbeOutcome::Dead => {
                self.lost_at = Some(now);
                self.suspect(now + settings.dead_ms);
            }
        }
    }
}
