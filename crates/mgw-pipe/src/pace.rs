//! Tells when a target became much slower than it was, while others did not.
//!
//! Under load all targets slow down together, and moving requests about would only add work. A
//! target counts as degraded when its recent mean has risen against its own usual one by far more
//! than those of its peers, and as sound again well below that, so that it doesn't flap.

use std::collections::BTreeMap;

use mgw_world::{Millis, TargetName};
use serde::Deserialize;

/// Settings of the judgement.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PaceSettings {
    /// Whether running requests move away from degraded targets.
    pub moves_requests: bool,
    /// Rise of the step time, relative to the peers' rise, from which a target is degraded.
    pub degraded_factor: f64,
    /// Relative rise below which it is sound again.
    pub sound_factor: f64,
    /// Rise below which no target is degraded.
    pub min_rise_ms: Millis,
    /// Steps that have to be observed first.
    pub min_steps: u32,
}

impl Default for PaceSettings {
    fn default() -> Self {
        Self {
            moves_requests: false,
            degraded_factor: 4.0,
            sound_factor: 2.0,
            min_rise_ms: Millis(10),
            min_steps: 16,
        }
    }
}

/// Weight of a new step in the recent mean.
const RECENT_GAIN: f64 = 0.25;
/// Weight of a new step in the usual mean, once that many were observed.
const USUAL_GAIN: f64 = 1.0 / 256.0;
/// A step counts in the usual mean for at most this multiple of it.
const MAX_USUAL_FACTOR: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct Pace {
    recent_ms: f64,
    usual_ms: f64,
    steps: u32,
    degraded: bool,
}

/// Recent and usual step times of all targets.
#[derive(Debug, Clone, Default)]
pub struct DegradationDetector {
    settings: PaceSettings,
    paces: BTreeMap<TargetName, Pace>,
}

impl DegradationDetector {
    /// Starts without observations.
    #[must_use]
    pub const fn new(settings: PaceSettings) -> Self {
        Self {
            settings,
            paces: BTreeMap::new(),
        }
    }

    /// Takes in the time of a step of one position; returns whether the target is degraded now.
    pub fn observe(&mut self, target: &TargetName, took_ms: f64) -> bool {
        let Some(pace) = self.paces.get_mut(target) else {
            self.paces.insert(target.clone(), Pace::new(took_ms));
            return false;
        };
        pace.observe(took_ms);
        let pace = *pace;
        let degraded = self.judge(target, pace);
        if let Some(known) = self.paces.get_mut(target) {
            known.degraded = degraded;
        }
        degraded
    }

    /// Whether the target is degraded.
    #[must_use]
    pub fn is_degraded(&self, target: &TargetName) -> bool {
        self.paces.get(target).is_some_and(|pace| pace.degraded)
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.paces.retain(|target, _| keep(target));
    }

    fn judge(&self, target: &TargetName, pace: Pace) -> bool {
        let settings = &self.settings;
        if pace.steps < settings.min_steps || pace.rise_ms() < settings.min_rise_ms.0 as f64 {
            return false;
        }
        let Some(peers) = self.median_ratio(target) else {
            return false;
        };
        let factor = if pace.degraded {
            settings.sound_factor
        } else {
            settings.degraded_factor
        };
        pace.ratio() >= factor * peers.max(1.0)
    }

    /// Median rise of the other targets, those that are degraded included.
    fn median_ratio(&self, target: &TargetName) -> Option<f64> {
        let others = self.paces.iter().filter(|(name, _)| *name != target);
        let mut ratios: Vec<f64> = others.map(|(_, pace)| pace.ratio()).collect();
        ratios.sort_by(f64::total_cmp);
        ratios.get(ratios.len() / 2).copied()
    }
}

impl Pace {
    const fn new(took_ms: f64) -> Self {
        Self {
            recent_ms: took_ms,
            usual_ms: took_ms,
            steps: 1,
            degraded: false,
        }
    }

    fn observe(&mut self, took_ms: f64) {
        self.steps = self.steps.saturating_add(1);
        self.recent_ms += RECENT_GAIN * (took_ms - self.recent_ms);
        if self.degraded {
            return;
        }
        let gain = f64::from(self.steps).recip().max(USUAL_GAIN);
        let counted = took_ms.min(self.usual_ms * MAX_USUAL_FACTOR);
        self.usual_ms += gain * (counted - self.usual_ms);
    }

    fn ratio(&self) -> f64 {
        self.recent_ms / self.usual_ms.max(f64::MIN_POSITIVE)
    }

    fn rise_ms(&self) -> f64 {
        self.recent_ms - self.usual_ms
    }
}
