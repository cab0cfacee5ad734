//! Local failure detection: a penalty from this node's own failures with a target. It is never sent
//! to other nodes.

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

/// Penalties of failures and how fast they decay.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrustSettings {
    /// Half-life of a penalty.
    pub half_life_ms: Millis,
    /// Penalty of one failed connection.
    pub failure_penalty: f64,
    /// Penalty of one flap: a target that becomes ready again after a lapse or restart.
    pub flap_penalty: f64,
    /// Penalty from which this node suspects a target and sends it no new work.
    pub suspect_at: f64,
    /// Penalty below which a suspected target is eligible again.
    pub return_below: f64,
    /// Upper bound of the penalty.
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

/// Decaying penalty of one target, as observed by this node.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Trust {
    penalty: f64,
    as_of: Millis,
    suspected: bool,
}

impl Trust {
    /// The penalty after decay.
    #[must_use]
    pub fn penalty(&self, settings: &TrustSettings, now: Millis) -> f64 {
        let half_lives = millis_f64(now - self.as_of) / millis_f64(settings.half_life_ms).max(1.0);
        self.penalty * (-half_lives).exp2()
    }

    /// Whether the target is suspected and gets no new work from this node.
    #[must_use]
    pub fn is_suspected(&self, settings: &TrustSettings, now: Millis) -> bool {
        self.suspected && self.penalty(settings, now) >= settings.return_below
    }

    /// Share of its usual work that the target gets, between 0 and 1; grows as the penalty decays.
    #[must_use]
    pub fn share(&self, settings: &TrustSettings, now: Millis) -> f64 {
        1.0 / (1.0 + self.penalty(settings, now))
    }

    /// Adds the penalty of a failure or a flap.
    pub fn add_penalty(&mut self, penalty: f64, settings: &TrustSettings, now: Millis) {
        let suspected = self.is_suspected(settings, now);
        self.penalty = (self.penalty(settings, now) + penalty).min(settings.max_penalty);
        self.as_of = now;
        self.suspected = suspected || self.penalty >= settings.suspect_at;
    }

    /// Halves the penalty after a success.
    pub fn record_success(&mut self, settings: &TrustSettings, now: Millis) {
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

/// Share between `floor` and 1 that grows linearly over the warm-up time.
pub(crate) fn ramp(age: Millis, warm_up: Millis, floor: f64) -> f64 {
    if age >= warm_up {
        return 1.0;
    }
    (millis_f64(age) / millis_f64(warm_up).max(1.0)).max(floor)
}
