//! Parts of prompts that end targets: what this entry has seen of them, and which requests it keeps from
//! targets.

use mgw_peer::OthersReport;
use mgw_route::{TargetEnd, TargetRun};
use mgw_world::{Millis, PromptPart};
use tracing::{info, warn};

use crate::app::App;

/// A request that a target received and that hadn't been seen to be sound there when the connection broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenSend {
    /// Parts of the prompt that other requests may hold as well.
    pub parts: Vec<PromptPart>,
    /// When it was sent, and when the connection broke.
    pub times: TargetEnd,
}

impl App {
    /// Whether the entry knows which parts are quarantined. A process that can't ask a control goes on
    /// without that after a while.
    #[must_use]
    pub fn knows_quarantine(&self) -> bool {
        !self.is_starting() || self.quarantine.lock().is_informed()
    }

    /// The first of the parts that is quarantined.
    #[must_use]
    pub fn find_quarantined(&self, parts: &[PromptPart]) -> Option<PromptPart> {
        let now = self.clock.now();
        self.quarantine.lock().find_quarantined(parts, now)
    }

    /// Whether a request with these parts may be sent to a second target.
    #[must_use]
    pub fn may_repeat(&self, parts: &[PromptPart]) -> bool {
        self.quarantine.lock().may_repeat(parts)
    }

    /// Records that a target's process ended under a request.
    pub fn record_target_end(&self, run: &TargetRun, send: &BrokenSend) {
        let mut quarantine = self.quarantine.lock();
        if !quarantine.record_end(&send.parts, run, send.times) {
            return;
        }
        drop(quarantine);
        let now = self.clock.now();
        info!(
            target_name = %run.name,
            incarnation = %run.incarnation,
            parts = %list_parts(&send.parts),
            sent_ms = (now - send.times.sent_at).0,
            ended_ms = (now - send.times.ended_at).0,
            "target ended under a request that hadn't begun there"
        );
        self.report_due.notify_one();
    }

    /// Records that a stream with these parts began then and went on.
    pub fn record_sound(&self, parts: &[PromptPart], begun_at: Millis) {
        self.quarantine.lock().record_sound(parts, begun_at);
    }

    /// Applies what the control told of the quarantine.
    pub fn apply_quarantine(&self, others: &OthersReport) {
        let now = self.clock.now();
        let (change, quarantined) = {
            let mut quarantine = self.quarantine.lock();
            let change = quarantine.update(&others.quarantine, now);
            (change, quarantine.len())
        };
        for part in &change.added {
            let mut suspects = others.quarantine.suspects.iter();
            let suspect = suspects.find(|it| it.part == *part);
            warn!(
                %part,
                revision = others.quarantine.revision,
                ends = suspect.map(|it| it.ends),
                successive_ends = suspect.map(|it| it.successive_ends),
                first_end_ms = suspect.map(|it| it.first_end_age_ms.0),
                "part of prompts quarantined: targets ended under it"
            );
        }
        for part in &change.lifted {
            info!(%part, revision = others.quarantine.revision, "quarantine of a part lifted");
        }
        let quarantined = i64::try_from(quarantined).unwrap_or(i64::MAX);
        self.metrics.quarantined_parts.set(quarantined);
    }
}

/// Writes the digests of parts of a prompt for log lines.
pub fn list_parts(parts: &[PromptPart]) -> String {
    let parts: Vec<String> = parts.iter().map(ToString::to_string).collect();
    parts.join(",")
}
