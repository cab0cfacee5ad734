//! Local suspicion: what this node alone has met with a target, never spread to the others.

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

/// How failures weigh and how fast they are forgiven.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrustSettings {
    /// Time in which a penalty halves.
    pub half_life_ms: Millis,
    /// Penalty of one failed connection.
    pub failure_penalty: f64,
    /// Penalty of one return after a lapse or restart.
    pub flap_penalty: f64,
    /// Penalty at which a target leaves the local choice.
    pub suspect_at: f64,
    /// Penalty below which it comes back.
    pub return_below: f64,
    /// Greatest penalty.
    pub max_penalty: f64,
}

impl Default for TrustSettings {
    fn default() -> Self {
        Self {
            half_life_ms: Millis(5_000),
            failure_penalty: 1.0,
            flap_penalty: 1.0,
            suspect_at: 2.5,
            return_below: 1.0,
            max_penalty: 16.0,
        }
    }
}

/// What this node thinks of one target or node.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Trust {
    penalty: f64,
    as_of: Millis,
    suspected: bool,
}

impl Trust {
    /// The penalty that is left.
    #[must_use]
    pub fn penalty(&self, settings: &TrustSettings, now: Millis) -> f64 {
        let half_lives = millis_f64(now - self.as_of) / millis_f64(settings.half_life_ms).max(1.0);
        self.penalty * (-half_lives).exp2()
    }

    /// Whether the target is out of the local choice.
    #[must_use]
    pub fn is_suspected(&self, settings: &TrustSettings, now: Millis) -> bool {
        self.suspected && self.penalty(settings, now) >= settings.return_below
    }

    /// Share of its usual work between 0 and 1; grows back as the penalty decays.
    #[must_use]
    pub fn share(&self, settings: &TrustSettings, now: Millis) -> f64 {
        1.0 / (1.0 + self.penalty(settings, now))
    }

    /// Counts a failure or a flap.
    pub fn add(&mut self, penalty: f64, settings: &TrustSettings, now: Millis) {
        let suspected = self.is_suspected(settings, now);
        self.penalty = (self.penalty(settings, now) + penalty).min(settings.max_penalty);
        self.as_of = now;
        self.suspected = suspected || self.penalty >= settings.suspect_at;
    }

    /// Halves the penalty after a success.
    pub fn forgive(&mut self, settings: &TrustSettings, now: Millis) {
        let suspected = self.is_suspected(settings, now);
        self.penalty = self.penalty(settings, now) / 2.0;
        self.as_of = now;
        self.suspected = suspected;
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
const fn millis_f64(span: Millis) -> f64 {
    span.0 as f64
}

/// Share between `floor` and 1 that grows evenly over the warm-up time.
pub(crate) fn ramp(age: Millis, warm: Millis, floor: f64) -> f64 {
    if age >= warm {
        return 1.0;
    }
    (millis_f64(age) / millis_f64(warm).max(1.0)).max(floor)
}
