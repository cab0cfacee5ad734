//! Detects targets that became much slower than they were, while their peers did not.
//!
//! Under load all targets slow down together, and moving requests between them would only add work.
//! A target counts as degraded when its recent mean step time has risen, relative to its own
//! baseline, by far more than those of its peers. It counts as healthy again only well below that
//! threshold, so that its state doesn't flap.

use std::collections::BTreeMap;

use mgw_world::{Millis, TargetName};
use serde::Deserialize;

/// Settings of the detection of degraded targets.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PaceSettings {
    /// Whether running requests move away from degraded targets.
    pub moves_requests: bool,
    /// Ratio of a target's relative rise of the step time to the median of its peers from which
    /// the target is degraded.
    pub degraded_factor: f64,
    /// The same ratio below which a degraded target is healthy again.
    pub sound_factor: f64,
    /// Absolute rise of the step time below which no target is degraded.
    pub min_rise_ms: Millis,
    /// Number of steps of a target that must be observed before it can be degraded.
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
/// Weight of a new step in the baseline once 256 steps were observed; before, the baseline is the
/// plain mean.
const BASELINE_GAIN: f64 = 1.0 / 256.0;
/// A step counts in the baseline with at most this multiple of it.
const MAX_BASELINE_FACTOR: f64 = 2.0;

/// Step times of one target.
#[derive(Debug, Clone, Copy)]
struct StepTimeTrend {
    recent_ms: f64,
    baseline_ms: f64,
    steps: u32,
    degraded: bool,
}

/// Tracks the recent and baseline step times of all targets and detects degraded ones.
#[derive(Debug, Clone, Default)]
pub struct DegradationDetector {
    settings: PaceSettings,
    trends: BTreeMap<TargetName, StepTimeTrend>,
}

impl DegradationDetector {
    /// Creates a detector without observations.
    #[must_use]
    pub const fn new(settings: PaceSettings) -> Self {
        Self {
            settings,
            trends: BTreeMap::new(),
        }
    }

    /// Records the time of a step of one position; returns whether the target is degraded now.
    pub fn observe(&mut self, target: &TargetName, step_ms: f64) -> bool {
        let Some(trend) = self.trends.get_mut(target) else {
            self.trends
                .insert(target.clone(), StepTimeTrend::new(step_ms));
            return false;
        };
        trend.observe(step_ms);
        let trend = *trend;
        let degraded = self.detect_degradation(target, trend);
        if let Some(trend) = self.trends.get_mut(target) {
            trend.degraded = degraded;
        }
        degraded
    }

    /// Whether the target was degraded at its last observed step.
    #[must_use]
    pub fn is_degraded(&self, target: &TargetName) -> bool {
        self.trends.get(target).is_some_and(|trend| trend.degraded)
    }

    /// Drops the observations of all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.trends.retain(|target, _| keep(target));
    }

    fn detect_degradation(&self, target: &TargetName, trend: StepTimeTrend) -> bool {
        let settings = &self.settings;
        if trend.steps < settings.min_steps || trend.rise_ms() < settings.min_rise_ms.0 as f64 {
            return false;
        }
        let Some(peer_ratio) = self.median_peer_ratio(target) else {
            return false;
        };
        let factor = if trend.degraded {
            settings.sound_factor
        } else {
            settings.degraded_factor
        };
        trend.rise_ratio() >= factor * peer_ratio.max(1.0)
    }

    /// Median of the other targets' rise ratios, including those of degraded targets.
    fn median_peer_ratio(&self, target: &TargetName) -> Option<f64> {
        let others = self.trends.iter().filter(|(name, _)| *name != target);
        let mut ratios: Vec<f64> = others.map(|(_, trend)| trend.rise_ratio()).collect();
        ratios.sort_by(f64::total_cmp);
        ratios.get(ratios.len() / 2).copied()
    }
}

impl StepTimeTrend {
    const fn new(step_ms: f64) -> Self {
        Self {
            recent_ms: step_ms,
            baseline_ms: step_ms,
            steps: 1,
            degraded: false,
        }
    }

    fn observe(&mut self, step_ms: f64) {
        self.steps = self.steps.saturating_add(1);
        self.recent_ms += RECENT_GAIN * (step_ms - self.recent_ms);
        if self.degraded {
            return;
        }
        let gain = f64::from(self.steps).recip().max(BASELINE_GAIN);
        let capped_ms = step_ms.min(self.baseline_ms * MAX_BASELINE_FACTOR);
        self.baseline_ms += gain * (capped_ms - self.baseline_ms);
    }

    /// Recent mean relative to the baseline.
    fn rise_ratio(&self) -> f64 {
        self.recent_ms / self.baseline_ms.max(f64::MIN_POSITIVE)
    }

    fn rise_ms(&self) -> f64 {
        self.recent_ms - self.baseline_ms
    }
}
