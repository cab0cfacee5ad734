//! Health of each target as this entry sees it: failed probes, silence and slowness.

use mgw_world::Millis;

/// Timings for the health checks of targets. A blocked or suspected target gets no new chains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthSettings {
    /// How long a target is blocked after it reported that it can't take part now or stayed silent
    /// under requests; also how long it is suspected after a connection to it broke.
    pub blocked_ms: Millis,
    /// How long a target that didn't answer a probe is suspected; longer than the rest of its
    /// lease.
    pub dead_ms: Millis,
    /// How long a silent target is suspected while it is being probed.
    pub suspected_ms: Millis,
    /// How long a target that other entries have lost is suspected, unless a token comes from it to
    /// this entry.
    pub lost_by_others_ms: Millis,
    /// Shortest time between two probes of a silent target.
    pub min_probe_interval_ms: Millis,
    /// Shortest time between two probes of a target that is only slow, multiplied by the number of
    /// entries: all entries together then probe it a bounded number of times a second.
    pub min_slowness_probe_interval_ms: Millis,
    /// How long the slowness measured by a probe is taken into account.
    pub slowness_valid_ms: Millis,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            blocked_ms: Millis(1_000),
            dead_ms: Millis(6_000),
            suspected_ms: Millis(700),
            lost_by_others_ms: Millis(1_500),
            min_probe_interval_ms: Millis(1_500),
            min_slowness_probe_interval_ms: Millis(300),
            slowness_valid_ms: Millis(4_000),
        }
    }
}

/// How long an entry reports a failed probe to the other entries; reports are sent every second.
const LOST_REPORT_MS: Millis = Millis(1_500);

/// Result of probing a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProbeOutcome {
    /// The target answered.
    Alive {
        /// Its current step time as a multiple of its usual one; 1 is normal.
        slowness: f64,
    },
    /// The target didn't answer in time, or not with a usable report.
    Dead,
    /// Nothing serves at the target's address any more: its process has ended.
    Ended,
}

/// Health of one target.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetHealth {
    /// When the last token of any request arrived through the target.
    pub last_token_at: Millis,
    /// The target is blocked until then, whatever a probe shows.
    blocked_until: Millis,
    /// The target is suspected until then, unless a probe or a token clears it.
    suspected_until: Millis,
    /// The target asked for no requests until then; nothing clears this earlier.
    paused_until: Millis,
    /// When the last probe failed; `None` once a token arrived or a later probe was answered.
    lost_at: Option<Millis>,
    /// Whether the last probe showed that the target's process has ended.
    has_ended: bool,
    probed_at: Option<Millis>,
    slowness: f64,
    slow_until: Millis,
}

impl TargetHealth {
    pub const fn new(now: Millis) -> Self {
        Self {
            last_token_at: now,
            blocked_until: Millis::ZERO,
            suspected_until: Millis::ZERO,
            paused_until: Millis::ZERO,
            lost_at: None,
            has_ended: false,
            probed_at: None,
            slowness: 1.0,
            slow_until: Millis::ZERO,
        }
    }

    /// Whether the target is blocked or suspected.
    pub fn is_blocked(&self, now: Millis) -> bool {
        now < self.blocked_until.max(self.suspected_until)
    }

    /// When the pause that the target asked for ends, if one is in force.
    pub fn pause_end(&self, now: Millis) -> Option<Millis> {
        (now < self.paused_until).then_some(self.paused_until)
    }

    pub fn pause(&mut self, until: Millis) {
        self.paused_until = self.paused_until.max(until);
    }

    pub const fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    pub const fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Whether a probe failed recently enough to be reported to the other entries.
    pub fn was_lost_recently(&self, now: Millis) -> bool {
        self.lost_at.is_some_and(|at| now - at <= LOST_REPORT_MS)
    }

    /// Factor on the target's usual step time; 1 once the last probe is too old.
    pub fn slowness(&self, now: Millis) -> f64 {
        if now < self.slow_until {
            self.slowness
        } else {
            1.0
        }
    }

    /// Records that a token arrived, which is better evidence than any probe.
    pub fn record_token(&mut self, now: Millis) {
        self.last_token_at = self.last_token_at.max(now);
        self.clear();
    }

    /// Forgets failed probes and silence, as they weren't the target's fault.
    pub const fn clear(&mut self) {
        self.suspected_until = Millis::ZERO;
        self.lost_at = None;
        self.has_ended = false;
    }

    pub fn block(&mut self, until: Millis) {
        self.blocked_until = self.blocked_until.max(until);
    }

    pub fn suspect(&mut self, until: Millis) {
        self.suspected_until = self.suspected_until.max(until);
    }

    /// Whether a probe is due, and if so records that it is sent now.
    pub fn start_probe_if_due(&mut self, min_interval_ms: Millis, now: Millis) -> bool {
        let is_due = self.probed_at.is_none_or(|at| now - at >= min_interval_ms);
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }

    pub fn record_probe(&mut self, outcome: ProbeOutcome, settings: &HealthSettings, now: Millis) {
        match outcome {
            ProbeOutcome::Alive { slowness } => {
                self.clear();
                self.slowness = slowness.max(1.0);
                self.slow_until = now + settings.slowness_valid_ms;
            }
            ProbeOutcome::Dead | ProbeOutcome::Ended => {
                self.lost_at = Some(now);
                self.has_ended |= outcome == ProbeOutcome::Ended;
                self.suspect(now + settings.dead_ms);
            }
        }
    }
}
