//! Targets that asked this entry to send them nothing: for good, because they are leaving, or for a
//! while, because they shed load.
//!
//! Load pattern: a service is released or scaled in during a burst. Targets tell that they leave
//! with the answers that they still give, before any membership view shows it, and the remaining
//! ones shed what they can't hold. Every request that an entry sends to either kind is lost time
//! for its caller, so what a target said itself overrides views and health checks.

use std::collections::HashMap;

use mgw_world::{Incarnation, Millis, Target, TargetName};
use serde::{Deserialize, Serialize};

/// One run of a target. A restarted target keeps its name but gets a higher incarnation, to which
/// earlier exclusions don't apply.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetRun {
    /// Name of the target.
    pub name: TargetName,
    /// Incarnation, which grows with each start of the target.
    pub incarnation: Incarnation,
}

impl From<&Target> for TargetRun {
    fn from(target: &Target) -> Self {
        Self {
            name: target.name.clone(),
            incarnation: target.incarnation,
        }
    }
}

/// Settings for exclusions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExclusionSettings {
    /// Longest pause that a target is granted; a longer one is cut to this.
    pub max_pause_ms: Millis,
    /// How long a leaving target is remembered after it was last listed. A view may list it again
    /// after its home node has restarted.
    pub remember_ms: Millis,
    /// How long an entry reports a leaving target to the other entries after it was told.
    pub report_ms: Millis,
}

impl Default for ExclusionSettings {
    fn default() -> Self {
        Self {
            max_pause_ms: Millis(120_000),
            remember_ms: Millis(300_000),
            report_ms: Millis(5_000),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Leaving {
    told_at: Millis,
    listed_at: Millis,
}

/// The exclusions that are in force at one entry.
#[derive(Debug, Clone, Default)]
pub struct Exclusions {
    settings: ExclusionSettings,
    leaving: HashMap<TargetRun, Leaving>,
    paused_until: HashMap<TargetRun, Millis>,
}

impl Exclusions {
    /// Creates an empty set of exclusions.
    #[must_use]
    pub fn new(settings: ExclusionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Excludes a target for the rest of its run. Returns whether that is new.
    pub fn record_leaving(&mut self, target: &TargetRun, now: Millis) -> bool {
        if self.leaving.contains_key(target) {
            return false;
        }
        let leaving = Leaving {
            told_at: now,
            listed_at: now,
        };
        self.leaving.insert(target.clone(), leaving);
        true
    }

    /// Excludes a target for a time, bounded by [`ExclusionSettings::max_pause_ms`]. A pause never
    /// shortens an earlier one. Returns when the target may get requests again.
    pub fn record_pause(&mut self, target: &TargetRun, pause_ms: Millis, now: Millis) -> Millis {
        let until = now + pause_ms.min(self.settings.max_pause_ms);
        let paused_until = self.paused_until.entry(target.clone()).or_default();
        *paused_until = until.max(*paused_until);
        *paused_until
    }

    /// Whether a target said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, target: &TargetRun) -> bool {
        self.leaving.contains_key(target)
    }

    /// Whether nothing may be sent to a target now.
    #[must_use]
    pub fn is_excluded(&self, target: &TargetRun, now: Millis) -> bool {
        self.is_leaving(target)
            || self
                .paused_until
                .get(target)
                .is_some_and(|until| now < *until)
    }

    /// The pauses in force, with the time at which each ends.
    pub fn pauses(&self, now: Millis) -> impl Iterator<Item = (&TargetRun, Millis)> {
        let pauses = self.paused_until.iter();
        pauses
            .map(|(target, until)| (target, *until))
            .filter(move |(_, until)| now < *until)
    }

    /// Targets that told this entry recently that they are leaving, for the other entries.
    #[must_use]
    pub fn leaving_to_report(&self, now: Millis) -> Vec<TargetRun> {
        let leaving = self.leaving.iter();
        let recent = leaving.filter(|(_, it)| now - it.told_at <= self.settings.report_ms);
        recent.map(|(target, _)| target.clone()).collect()
    }

    /// Drops pauses that have ended, and leaving targets that weren't listed for long.
    pub fn expire<'a>(&mut self, listed: impl Iterator<Item = &'a TargetRun>, now: Millis) {
        for target in listed {
            if let Some(leaving) = self.leaving.get_mut(target) {
                leaving.listed_at = now;
            }
        }
        let remember_ms = self.settings.remember_ms;
        self.leaving
            .retain(|_, leaving| now - leaving.listed_at <= remember_ms);
        self.paused_until.retain(|_, until| now < *until);
    }
}
