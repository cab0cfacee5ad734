//! Observed step times of targets, and the step timeouts computed from them.

use std::collections::BTreeMap;

use mgw_world::{Millis, TargetName};
use serde::Deserialize;

/// Settings of the step timeout.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimeSettings {
    /// Minimum timeout of a step.
    pub min_ms: Millis,
    /// Maximum timeout of a step of one position.
    pub max_ms: Millis,
    /// Timeout of a step of one position at a target without observations.
    pub first_ms: Millis,
    /// Time added to the timeout for each position of a step beyond the first, in microseconds.
    pub per_position_us: u64,
}

impl Default for TimeSettings {
    fn default() -> Self {
        Self {
            min_ms: Millis(300),
            max_ms: Millis(1000),
            first_ms: Millis(800),
            per_position_us: 4000,
        }
    }
}

/// Number of mean deviations above the mean that a step may take.
const DEVIATIONS: f64 = 6.0;
/// Weight of a new observation in the mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new observation in the mean deviation.
const DEVIATION_GAIN: f64 = 0.25;

#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean_ms: f64,
    deviation_ms: f64,
}

/// Smoothed step times of each target, computed like TCP's retransmission timeout.
#[derive(Debug, Clone, Default)]
pub struct StepTimes {
    settings: TimeSettings,
    estimates: BTreeMap<TargetName, Estimate>,
}

impl StepTimes {
    /// Creates an estimator without observations.
    #[must_use]
    pub const fn new(settings: TimeSettings) -> Self {
        Self {
            settings,
            estimates: BTreeMap::new(),
        }
    }

    /// Records the time of a step of one position.
    pub fn observe(&mut self, target: &TargetName, step_ms: f64) {
        let Some(estimate) = self.estimates.get_mut(target) else {
            let first = Estimate {
                mean_ms: step_ms,
                deviation_ms: step_ms / 2.0,
            };
            self.estimates.insert(target.clone(), first);
            return;
        };
        let error_ms = step_ms - estimate.mean_ms;
        estimate.mean_ms += MEAN_GAIN * error_ms;
        estimate.deviation_ms += DEVIATION_GAIN * (error_ms.abs() - estimate.deviation_ms);
    }

    /// Drops the observations of all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.estimates.retain(|target, _| keep(target));
    }

    /// Smoothed mean time of a step of one position; `None` without observations.
    #[must_use]
    pub fn mean_ms(&self, target: &TargetName) -> Option<f64> {
        self.estimates.get(target).map(|estimate| estimate.mean_ms)
    }

    /// How long a step of `count` positions may take before the target is asked for the state of
    /// the session.
    #[must_use]
    pub fn step_timeout(&self, target: &TargetName, count: u32) -> Millis {
        let settings = &self.settings;
        let first_position = match self.estimates.get(target) {
            None => settings.first_ms,
            Some(estimate) => {
                let limit_ms = DEVIATIONS.mul_add(estimate.deviation_ms, estimate.mean_ms);
                #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                Millis(limit_ms as u64).clamp(settings.min_ms, settings.max_ms)
            }
        };
        let further_us = u64::from(count.saturating_sub(1)) * settings.per_position_us;
        first_position + Millis(further_us / 1000)
    }
}
