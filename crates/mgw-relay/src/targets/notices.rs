//! What targets say about themselves in their answers: that they are leaving, that they want no
//! requests for a while, or only so many in a second.

use mgw_route::TargetRun;
use mgw_world::Millis;
use tracing::{info, warn};

use crate::app::App;
use crate::dialect::{AnswerHead, RequestedPause};

impl App {
    /// Leaves a target out of further choices if its answer asks for that.
    pub fn record_notices(&self, target: &TargetRun, answer: &AnswerHead) {
        if answer.is_leaving {
            self.record_leaving(target, "answer");
        }
        match answer.pause {
            RequestedPause::None => {}
            RequestedPause::For(pause_ms) => self.record_pause(target, pause_ms),
            RequestedPause::Unreadable => warn!(
                target_name = %target.name,
                incarnation = %target.incarnation,
                "can't read how long the target wants no requests; it stays in use"
            ),
        }
        self.record_stated_limit(target, answer.rate_limit);
    }

    /// Leaves a target out for the rest of its run. `source` tells log lines who said so.
    pub fn record_leaving(&self, target: &TargetRun, source: &'static str) {
        let now = self.clock.now();
        if !self.exclusions.lock().record_leaving(target, now) {
            return;
        }
        info!(
            target_name = %target.name,
            incarnation = %target.incarnation,
            source,
            "target left out: it is leaving"
        );
        self.count_exclusion("leaving");
        self.update_targets();
    }

    /// Leaves a target out for a time.
    fn record_pause(&self, target: &TargetRun, pause_ms: Millis) {
        let now = self.clock.now();
        let until = self.exclusions.lock().record_pause(target, pause_ms, now);
        info!(
            target_name = %target.name,
            incarnation = %target.incarnation,
            asked_ms = pause_ms.0,
            pause_ms = (until - now).0,
            "target left out: it asked for a pause"
        );
        self.count_exclusion("paused");
        self.apply_pause(target, until);
    }

    fn count_exclusion(&self, cause: &str) {
        let exclusions = &self.metrics.exclusions;
        exclusions.with_label_values(&[cause]).inc();
    }

    /// Whether nothing may be sent to a target now.
    #[must_use]
    pub fn is_excluded(&self, target: &TargetRun) -> bool {
        let now = self.clock.now();
        self.exclusions.lock().is_excluded(target, now)
    }

    /// Applies all pauses in force, after the lists of targets were replaced.
    pub fn apply_pauses(&self) {
        let now = self.clock.now();
        let pauses: Vec<(TargetRun, Millis)> = {
            let exclusions = self.exclusions.lock();
            let pauses = exclusions.pauses(now);
            pauses.map(|(run, until)| (run.clone(), until)).collect()
        };
        for (target, until) in pauses {
            self.apply_pause(&target, until);
        }
    }

    fn apply_pause(&self, target: &TargetRun, until: Millis) {
        self.pause_in_chains(target, until);
        self.with_plain_balancer(|balancer| balancer.pause(target, until));
    }
}
