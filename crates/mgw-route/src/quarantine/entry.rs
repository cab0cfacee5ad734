//! The quarantine as one entry applies it.

use std::collections::{BTreeSet, HashMap};

use mgw_world::{Millis, PromptPart};

use super::evidence::{PartEvidence, QuarantineSettings, TargetEnd};
use super::report::{EvidenceReport, QuarantineUpdate, ReportedEnd, SoundPart, SuspectPart};
use crate::exclusions::TargetRun;

/// Most ends in one report; the newest are reported.
const MAX_REPORTED_ENDS: usize = 32;
/// Time after the first end before an entry judges alone.
const SETTLE_ALONE_MS: Millis = Millis(1_000);

/// The quarantine at one entry: what the controls have told it, and its own evidence, by which it acts
/// alone while it hears no control.
#[derive(Debug, Clone, Default)]
pub struct EntryQuarantine {
    settings: QuarantineSettings,
    evidence: PartEvidence,
    revision: u64,
    quarantined: BTreeSet<PromptPart>,
    suspects: HashMap<PromptPart, SuspectPart>,
    updated_at: Option<Millis>,
}

impl EntryQuarantine {
    /// Whether a control has told which parts are quarantined since the entry started.
    #[must_use]
    pub const fn is_informed(&self) -> bool {
        self.updated_at.is_some()
    }

    /// Number of parts that are quarantined here.
    #[must_use]
    pub fn len(&self) -> usize {
        let suspects = self.suspects.values();
        let uncommitted = suspects
            .filter(|it| it.is_harmful && !self.quarantined.contains(&it.part))
            .count();
        self.quarantined.len() + uncommitted
    }

    /// Whether no part is quarantined here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The first of the parts that is quarantined; a request with it must not be sent to a target.
    #[must_use]
    pub fn find_quarantined(&self, parts: &[PromptPart], now: Millis) -> Option<PromptPart> {
        let is_alone = self
            .updated_at
            .is_none_or(|at| now - at > self.settings.alone_after_ms);
        let mut parts = parts.iter().copied();
        parts.find(|part| {
            self.quarantined.contains(part)
                || self.suspects.get(part).is_some_and(|it| it.is_harmful)
                || is_alone && self.evidence.is_harmful(*part)
        })
    }

    /// Whether a request with these parts may be sent to a second target after it was sent to one.
    #[must_use]
    pub fn may_repeat(&self, parts: &[PromptPart]) -> bool {
        let is_suspected = |part: &PromptPart| {
            let told = self.suspects.get(part);
            self.evidence.is_suspected(*part)
                || told.is_some_and(|it| it.successive_ends >= self.settings.suspected_ends)
        };
        !parts.iter().any(is_suspected)
    }

    /// Records that a target ended under a request with these parts. Returns whether that is new.
    pub fn record_end(&mut self, parts: &[PromptPart], run: &TargetRun, end: TargetEnd) -> bool {
        let mut is_new = false;
        for part in parts {
            is_new |= self.evidence.record_end(*part, run, end);
        }
        self.judge(end.ended_at);
        is_new
    }

    /// Records that a stream with these parts began then and went on.
    pub fn record_sound(&mut self, parts: &[PromptPart], begun_at: Millis) {
        for part in parts {
            self.evidence.record_sound(*part, begun_at);
        }
        self.evidence.count_sound_streams(1);
    }

    /// This entry's evidence for a control.
    pub fn report(&mut self, now: Millis) -> EvidenceReport {
        self.evidence.expire(now);
        self.judge(now);
        let ends = self.evidence.ends();
        let mut ends: Vec<ReportedEnd> = ends
            .map(|(part, run, end)| ReportedEnd {
                part,
                run: run.clone(),
                sent_age_ms: now - end.sent_at,
                ended_age_ms: now - end.ended_at,
            })
            .collect();
        ends.sort_unstable_by_key(|end| end.ended_age_ms);
        ends.truncate(MAX_REPORTED_ENDS);
        let sound = self.suspects.values().filter_map(|suspect| {
            let begun_at = self.evidence.sound_at(suspect.part)?;
            Some(SoundPart {
                part: suspect.part,
                begun_age_ms: now - begun_at,
            })
        });
        EvidenceReport {
            ends,
            sound: sound.collect(),
            sound_streams: self.evidence.sound_streams(),
        }
    }

    /// Applies what a control told. Returns the parts that are newly quarantined and those that are no
    /// longer.
    pub fn update(&mut self, update: &QuarantineUpdate, now: Millis) -> QuarantineChange {
        self.updated_at = Some(now);
        let before = self.all_quarantined();
        if update.revision >= self.revision {
            self.revision = update.revision;
            let quarantined: BTreeSet<PromptPart> = update.quarantined.iter().copied().collect();
            self.evidence
                .clear_lifted(&self.quarantined, &quarantined, now);
            self.quarantined = quarantined;
        }
        let suspects = update.suspects.iter();
        self.suspects = suspects.map(|it| (it.part, *it)).collect();
        let after = self.all_quarantined();
        QuarantineChange {
            added: after.difference(&before).copied().collect(),
            lifted: before.difference(&after).copied().collect(),
        }
    }

    /// Judges by this entry's own evidence.
    fn judge(&mut self, now: Millis) {
        let quarantined = &self.quarantined;
        self.evidence
            .judge(SETTLE_ALONE_MS, |part| quarantined.contains(&part), now);
    }

    fn all_quarantined(&self) -> BTreeSet<PromptPart> {
        let suspects = self.suspects.values();
        let uncommitted = suspects.filter(|it| it.is_harmful).map(|it| it.part);
        self.quarantined
            .iter()
            .copied()
            .chain(uncommitted)
            .collect()
    }
}

/// What an update changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Parts that are quarantined now and weren't before.
    pub added: Vec<PromptPart>,
    /// Parts that were quarantined before and aren't any more.
    pub lifted: Vec<PromptPart>,
}
