//! Observed times of steps, and the deadline that follows from them.

use std::collections::BTreeMap;

use mgw_world::{Millis, TargetName};
use serde::Deserialize;

/// Settings of the step deadline.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimeSettings {
    /// Shortest deadline of a step.
    pub min_ms: Millis,
    /// Longest deadline of a step of one position.
    pub max_ms: Millis,
    /// Deadline of a target that was never observed.
    pub first_ms: Millis,
    /// Time allowed for each position of a step beyond the first, in microseconds.
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

/// How many deviations above the mean a step may take.
const DEVIATIONS: f64 = 6.0;
/// Weight of a new observation in the mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new observation in the deviation.
const DEVIATION_GAIN: f64 = 0.25;

#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean_ms: f64,
    deviation_ms: f64,
}

/// Smoothed step times of each target, in the manner of TCP's retransmission timer.
#[derive(Debug, Clone, Default)]
pub struct StepTimes {
    settings: TimeSettings,
    estimates: BTreeMap<TargetName, Estimate>,
}

impl StepTimes {
    /// Starts without observations.
    #[must_use]
    pub const fn new(settings: TimeSettings) -> Self {
        Self {
            settings,
            estimates: BTreeMap::new(),
        }
    }

    /// Takes in the time of a step of one position.
    pub fn observe(&mut self, target: &TargetName, took_ms: f64) {
        let Some(estimate) = self.estimates.get_mut(target) else {
            let first = Estimate {
                mean_ms: took_ms,
                deviation_ms: took_ms / 2.0,
            };
            self.estimates.insert(target.clone(), first);
            return;
        };
        let error_ms = took_ms - estimate.mean_ms;
        estimate.mean_ms += MEAN_GAIN * error_ms;
        estimate.deviation_ms += DEVIATION_GAIN * (error_ms.abs() - estimate.deviation_ms);
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.estimates.retain(|target, _| keep(target));
    }

    /// Mean time of a step of one position, if observed.
    #[must_use]
    pub fn mean_ms(&self, target: &TargetName) -> Option<f64> {
        self.estimates.get(target).map(|estimate| estimate.mean_ms)
    }

    /// How long a step of `count` positions may take before the target is asked where it stands.
    #[must_use]
    pub fn step_timeout(&self, target: &TargetName, count: u32) -> Millis {
        let settings = &self.settings;
        let single = match self.estimates.get(target) {
            None => settings.first_ms,
            Some(estimate) => {
                let allowed = DEVIATIONS.mul_add(estimate.deviation_ms, estimate.mean_ms);
                #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                Millis(allowed as u64).clamp(settings.min_ms, settings.max_ms)
            }
        };
        let more = u64::from(count.saturating_sub(1)) * settings.per_position_us;
        single + Millis(more / 1000)
    }
}
