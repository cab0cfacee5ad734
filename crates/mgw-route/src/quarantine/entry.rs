//! The quarantine as one entry applies it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use mgw_world::{Millis, Subject};

use super::evidence::{Evidence, QuarantineSettings};
use super::report::{EvidenceReport, QuarantineUpdate, ReportedEnd, SoundSubject, Suspect};
use super::suspicion::TargetEnd;
use super::trial::TRIAL_VALID_MS;
use super::verdict::SettleTimes;
use crate::exclusions::TargetRun;

/// Most ends in one report.
const MAX_REPORTED_ENDS: usize = 32;
/// Most quarantined requests in one report that callers have sent.
const MAX_WANTED: usize = 16;
/// Time after the second end before an entry judges alone.
const SETTLE_ALONE_MS: Millis = Millis(1_000);

/// The quarantine at one entry: what the controls have told it, and its own evidence. By that it acts alone
/// against parts of prompts while it hears no control, and against requests at any time.
#[derive(Debug, Clone, Default)]
pub struct EntryQuarantine {
    settings: QuarantineSettings,
    evidence: Evidence,
    revision: u64,
    quarantined: BTreeSet<Subject>,
    suspects: HashMap<Subject, Suspect>,
    updated_at: Option<Millis>,
    /// Quarantined requests that callers have sent since a control last answered.
    wanted: BTreeSet<Subject>,
    /// Until when a quarantined request may be sent to a target once.
    trials: HashMap<Subject, Millis>,
}

impl EntryQuarantine {
    /// Whether a control has told what is quarantined since the entry started.
    #[must_use]
    pub const fn is_informed(&self) -> bool {
        self.updated_at.is_some()
    }

    /// What is quarantined here by the word of controls.
    #[must_use]
    pub fn quarantined(&self) -> BTreeSet<Subject> {
        let suspects = self.suspects.values();
        let uncommitted = suspects.filter(|it| it.is_harmful).map(|it| it.subject);
        self.quarantined
            .iter()
            .copied()
            .chain(uncommitted)
            .collect()
    }

    /// Decides whether a request with these subjects may be sent to a target. Uses up the trial that a control
    /// has granted for it, if any.
    ///
    /// # Errors
    /// The first of the subjects that is quarantined.
    pub fn admit(&mut self, subjects: &[Subject], now: Millis) -> Result<(), Subject> {
        let Some(subject) = self.find_quarantined(subjects, now) else {
            return Ok(());
        };
        let trial = self.trials.remove(&subject);
        if trial.is_some_and(|until| now <= until) {
            return Ok(());
        }
        if subject.is_request() && self.wanted.len() < MAX_WANTED {
            self.wanted.insert(subject);
        }
        Err(subject)
    }

    /// The first of a request's subjects that is quarantined.
    #[must_use]
    pub fn find_quarantined(&self, subjects: &[Subject], now: Millis) -> Option<Subject> {
        let is_alone = self
            .updated_at
            .is_none_or(|at| now - at > self.settings.alone_after_ms);
        let mut subjects = subjects.iter().copied();
        subjects.find(|subject| {
            let by_own_evidence = is_alone || subject.is_request();
            self.quarantined.contains(subject)
                || self.suspects.get(subject).is_some_and(|it| it.is_harmful)
                || by_own_evidence && self.evidence.is_harmful(*subject)
        })
    }

    /// Whether a request with these subjects may be sent to a second target after it was sent to one.
    #[must_use]
    pub fn may_repeat(&self, subjects: &[Subject]) -> bool {
        !subjects.iter().any(|subject| {
            let told = self.suspects.get(subject);
            let told_ends = told.map_or(0, |it| {
                if subject.is_request() {
                    it.ends
                } else {
                    it.successive_ends
                }
            });
            self.evidence.is_suspected(*subject) || told_ends >= self.settings.suspected_ends
        })
    }

    /// Records that a target ended under a request with these subjects. Returns whether that is new.
    pub fn record_end(&mut self, subjects: &[Subject], run: &TargetRun, end: TargetEnd) -> bool {
        let mut is_new = false;
        for subject in subjects {
            is_new |= self.evidence.record_end(*subject, run, end);
        }
        self.judge(end.ended_at);
        is_new
    }

    /// Records that a stream with these subjects began then and went on. Returns whether a control should
    /// hear of it at once.
    pub fn record_sound_stream(&mut self, subjects: &[Subject], begun_at: Millis) -> bool {
        self.evidence.count_sound_streams(1);
        self.record_sound(subjects, begun_at)
    }

    /// Records that a target answered a request with these subjects and lived on. Returns whether a control
    /// should hear of it at once.
    pub fn record_sound(&mut self, subjects: &[Subject], answered_at: Millis) -> bool {
        for subject in subjects {
            self.evidence.record_sound(*subject, answered_at);
        }
        subjects
            .iter()
            .any(|subject| self.suspects.contains_key(subject))
    }

    /// This entry's evidence for a control.
    pub fn report(&mut self, now: Millis) -> EvidenceReport {
        self.evidence.expire(now);
        self.judge(now);
        let ends = self.evidence.ends();
        let mut ends: Vec<ReportedEnd> = ends
            .filter(|(subject, _, end)| {
                let is_recent = now - end.ended_at <= self.settings.valid_ms;
                is_recent || self.evidence.count_ends(*subject) > 1
            })
            .map(|(subject, run, end)| ReportedEnd {
                subject,
                run: run.clone(),
                sent_age_ms: now - end.sent_at,
                ended_age_ms: now - end.ended_at,
            })
            .collect();
        // Subjects with several ends first: there may be many that were at one ended target by chance.
        ends.sort_by_cached_key(|end| {
            let count = self.evidence.count_ends(end.subject);
            (u32::MAX - count, end.ended_age_ms)
        });
        ends.truncate(MAX_REPORTED_ENDS);
        let mut asked: BTreeSet<Subject> = self.suspects.keys().copied().collect();
        asked.extend(ends.iter().map(|end| end.subject));
        let sound = asked.into_iter().filter_map(|subject| {
            let begun_at = self.evidence.sound_at(subject)?;
            Some(SoundSubject {
                subject,
                begun_age_ms: now - begun_at,
            })
        });
        EvidenceReport {
            ends,
            sound: sound.collect(),
            sound_streams: self.evidence.sound_streams(),
            wanted: self.wanted.iter().copied().collect(),
        }
    }

    /// Applies what the control told that collects the evidence of all entries.
    pub fn update(&mut self, update: &QuarantineUpdate, now: Millis) -> QuarantineChange {
        self.apply(update, BTreeMap::new(), now)
    }

    /// Applies what another control told, as the one that collects the evidence doesn't answer. It may lack
    /// some, so that what was told before stays.
    pub fn update_by_substitute(
        &mut self,
        update: &QuarantineUpdate,
        now: Millis,
    ) -> QuarantineChange {
        let told = std::mem::take(&mut self.suspects);
        self.apply(update, told.into_iter().collect(), now)
    }

    fn apply(
        &mut self,
        update: &QuarantineUpdate,
        kept: BTreeMap<Subject, Suspect>,
        now: Millis,
    ) -> QuarantineChange {
        let known: BTreeSet<Subject> = self.suspects.keys().chain(kept.keys()).copied().collect();
        let harmful = kept.values().filter(|it| it.is_harmful);
        let mut before = self.quarantined();
        before.extend(harmful.map(|it| it.subject));
        self.updated_at = Some(now);
        if update.revision >= self.revision {
            self.revision = update.revision;
            let quarantined: BTreeSet<Subject> = update.quarantined.iter().copied().collect();
            self.evidence
                .clear_lifted(&self.quarantined, &quarantined, now);
            self.quarantined = quarantined;
        }
        for sound in &update.sound {
            self.evidence
                .record_sound(sound.subject, now - sound.begun_age_ms);
        }
        self.wanted.clear();
        self.trials.retain(|_, until| now <= *until);
        let trials = update.trials.iter();
        self.trials
            .extend(trials.map(|it| (*it, now + TRIAL_VALID_MS)));
        self.suspects = kept.into_iter().collect();
        let told = update.suspects.iter().map(|it| (it.subject, *it));
        self.suspects.extend(told);
        let after = self.quarantined();
        let mut new_suspects = self.suspects.keys().filter(|it| !known.contains(*it));
        QuarantineChange {
            added: after.difference(&before).copied().collect(),
            lifted: before.difference(&after).copied().collect(),
            is_report_due: new_suspects.any(|it| self.evidence.sound_at(*it).is_some()),
        }
    }

    /// Judges by this entry's own evidence.
    fn judge(&mut self, now: Millis) {
        let quarantined = &self.quarantined;
        let settle = SettleTimes {
            parts_ms: SETTLE_ALONE_MS,
            requests_ms: SETTLE_ALONE_MS,
        };
        self.evidence
            .judge(settle, |subject| quarantined.contains(&subject), now);
    }
}

/// What an update changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Subjects that are quarantined now and weren't before.
    pub added: Vec<Subject>,
    /// Subjects that were quarantined before and aren't any more.
    pub lifted: Vec<Subject>,
    /// Whether the entry knows something that speaks for a subject under suspicion.
    pub is_report_due: bool,
}
