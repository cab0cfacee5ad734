//! Evidence for and against what targets may end under.

use std::collections::{BTreeSet, HashMap};

use mgw_world::{Millis, Subject};

use super::report::Suspect;
use super::suspicion::{Suspicion, TargetEnd, count_successive};
use crate::exclusions::TargetRun;

/// Settings for the verdict on a part of prompts or a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Least number of targets that ended under requests with the part, without a sound stream since
    /// the first of these ends.
    pub min_ends: u32,
    /// Least number of these ends that followed one another: of which each request was sent after the
    /// target before had ended. All ends of a rack that is lost are one.
    pub min_successive_ends: u32,
    /// Least number of sound streams without the part since the first of these ends. While nothing is
    /// served the targets may be at fault.
    pub min_other_streams: u64,
    /// Least time between two successive ends. The targets of a rack end within less, and take repeated
    /// requests along.
    pub min_end_distance_ms: Millis,
    /// Least number of targets that ended under a request that was never seen to be sound.
    pub min_request_ends: u32,
    /// Number of ends from which on a request is harmful although something else explains them.
    pub max_explained_ends: u32,
    /// Number of ends, successive ones for a part, from which on a request isn't sent to a second target.
    pub suspected_ends: u32,
    /// Least number of sound streams before the first end, all without the part, that speak against it as
    /// well while it is in nearly all ends since: it is new, and nothing else is.
    pub min_earlier_streams: u64,
    /// Time without word from a control after which an entry acts by its own evidence alone.
    pub alone_after_ms: Millis,
    /// How long an end counts against a part, and how long a single end is reported.
    pub valid_ms: Millis,
    /// How long an end counts against a request, which may come again after a long time.
    pub request_valid_ms: Millis,
    /// Most subjects with ends that are remembered.
    pub max_suspicions: usize,
    /// Most subjects whose last sound answer is remembered.
    pub max_sound_subjects: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            min_ends: 4,
            min_successive_ends: 2,
            min_other_streams: 16,
            min_end_distance_ms: Millis(150),
            min_request_ends: 3,
            max_explained_ends: 5,
            suspected_ends: 2,
            min_earlier_streams: 64,
            alone_after_ms: Millis(5_000),
            valid_ms: Millis(60_000),
            request_valid_ms: Millis(3_600_000),
            max_suspicions: 256,
            max_sound_subjects: 4_096,
        }
    }
}

/// Evidence that one process has on parts of prompts and on requests.
///
/// An end names the requests that were at the target and hadn't been answered, and each shared part of
/// their prompts. A sound answer clears its request and all its parts of the ends before it. What remains
/// after several ends is harmful. The order in which evidence is recorded doesn't matter, nor whether it is
/// recorded twice.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    pub(super) settings: QuarantineSettings,
    pub(super) suspicions: HashMap<Subject, Suspicion>,
    /// When the last sound answer with each subject began.
    sound_at: HashMap<Subject, Millis>,
    sound_streams: u64,
}

impl Evidence {
    /// Creates a process's evidence without any entry.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that a target ended under a request with the subject. Returns whether that is new.
    pub fn record_end(&mut self, subject: Subject, run: &TargetRun, end: TargetEnd) -> bool {
        let sound_at = self.sound_at.get(&subject);
        if sound_at.is_some_and(|at| *at >= end.ended_at) {
            return false;
        }
        let streams_before = self.sound_streams;
        let suspicion = self.suspicions.entry(subject).or_insert_with(|| Suspicion {
            streams_before,
            ..Suspicion::default()
        });
        if suspicion.ends.contains_key(run) {
            return false;
        }
        suspicion.ends.insert(run.clone(), end);
        self.limit_suspicions();
        true
    }

    /// Counts streams that are sound.
    pub const fn count_sound_streams(&mut self, count: u64) {
        self.sound_streams += count;
    }

    /// Clears the subjects that an operator has taken out of the quarantine of the evidence so far.
    pub(super) fn clear_lifted(
        &mut self,
        before: &BTreeSet<Subject>,
        after: &BTreeSet<Subject>,
        now: Millis,
    ) {
        for lifted in before.difference(after) {
            self.record_sound(*lifted, now);
        }
    }

    /// Records that a target that got the subject lived on, by an answer that began then.
    pub fn record_sound(&mut self, subject: Subject, begun_at: Millis) {
        let sound_at = self.sound_at.entry(subject).or_default();
        *sound_at = begun_at.max(*sound_at);
        self.limit_sound_subjects();
        let Some(suspicion) = self.suspicions.get_mut(&subject) else {
            return;
        };
        if !suspicion.clear_until(begun_at) {
            return;
        }
        suspicion.is_harmful = false;
        suspicion.streams_before = self.sound_streams;
        if suspicion.ends.is_empty() {
            self.suspicions.remove(&subject);
        }
    }

    /// When the last sound answer with the subject began.
    #[must_use]
    pub fn sound_at(&self, subject: Subject) -> Option<Millis> {
        self.sound_at.get(&subject).copied()
    }

    /// Number of sound streams so far.
    #[must_use]
    pub const fn sound_streams(&self) -> u64 {
        self.sound_streams
    }

    /// Whether targets end under the subject, by this process's evidence.
    #[must_use]
    pub fn is_harmful(&self, subject: Subject) -> bool {
        let suspicion = self.suspicions.get(&subject);
        suspicion.is_some_and(|suspicion| suspicion.is_harmful)
    }

    /// Whether requests with the subject shouldn't be sent to a second target.
    #[must_use]
    pub fn is_suspected(&self, subject: Subject) -> bool {
        let Some(suspicion) = self.suspicions.get(&subject) else {
            return false;
        };
        let ends = if subject.is_request() {
            suspicion.ends()
        } else {
            self.successive_ends(suspicion)
        };
        ends >= self.settings.suspected_ends
    }

    /// All ends that count, with their subject and target.
    pub fn ends(&self) -> impl Iterator<Item = (Subject, &TargetRun, &TargetEnd)> {
        let suspicions = self.suspicions.iter();
        suspicions.flat_map(|(subject, suspicion)| {
            let ends = suspicion.ends.iter();
            ends.map(|(run, end)| (*subject, run, end))
        })
    }

    /// The ends under a harmful request, as long as there are no more than the verdict needs.
    pub(super) fn doubtful_request(&self, subject: Subject) -> Option<&Suspicion> {
        let suspicion = self.suspicions.get(&subject)?;
        let is_doubtful = suspicion.ends() <= self.settings.min_request_ends;
        let is_harmful = suspicion.is_harmful && suspicion.is_settled;
        (subject.is_request() && is_harmful && is_doubtful).then_some(suspicion)
    }

    /// Number of ends under the subject.
    #[must_use]
    pub fn count_ends(&self, subject: Subject) -> u32 {
        self.suspicions.get(&subject).map_or(0, Suspicion::ends)
    }

    /// The subjects with several ends, harmful ones and those with the most ends first.
    #[must_use]
    pub fn suspects(&self, now: Millis) -> Vec<Suspect> {
        let suspicions = self.suspicions.iter();
        let mut suspects: Vec<Suspect> = suspicions
            .filter(|(_, suspicion)| suspicion.ends.len() > 1)
            .map(|(subject, suspicion)| Suspect {
                subject: *subject,
                ends: suspicion.ends(),
                successive_ends: self.successive_ends(suspicion),
                first_end_age_ms: now - suspicion.first_ended_at(),
                is_harmful: suspicion.is_harmful,
                is_settled: suspicion.is_settled,
            })
            .collect();
        suspects.sort_unstable_by_key(|it| (!it.is_harmful, u32::MAX - it.ends, it.subject));
        suspects
    }

    /// Drops ends that no longer count. A verdict stays until a sound answer or an operator lifts it.
    pub fn expire(&mut self, now: Millis) {
        let settings = self.settings;
        self.suspicions.retain(|subject, suspicion| {
            if suspicion.is_harmful {
                return true;
            }
            let valid_ms = if subject.is_request() {
                settings.request_valid_ms
            } else {
                settings.valid_ms
            };
            suspicion
                .ends
                .retain(|_, end| now - end.ended_at <= valid_ms);
            !suspicion.ends.is_empty()
        });
    }

    fn successive_ends(&self, suspicion: &Suspicion) -> u32 {
        let ends = suspicion.ends.values().collect();
        count_successive(ends, self.settings.min_end_distance_ms)
    }

    /// Drops the subject with the fewest and oldest ends while there are too many.
    fn limit_suspicions(&mut self) {
        while self.suspicions.len() > self.settings.max_suspicions {
            let suspicions = self.suspicions.iter();
            let weakest = suspicions.min_by_key(|(subject, it)| {
                (it.is_harmful, it.ends.len(), it.first_ended_at(), **subject)
            });
            let Some(weakest) = weakest.map(|(subject, _)| *subject) else {
                return;
            };
            self.suspicions.remove(&weakest);
        }
    }

    /// Drops the older half of the sound subjects when there are too many.
    fn limit_sound_subjects(&mut self) {
        if self.sound_at.len() <= self.settings.max_sound_subjects {
            return;
        }
        let mut begun: Vec<Millis> = self.sound_at.values().copied().collect();
        let middle = begun.len() / 2;
        let (_, middle, _) = begun.select_nth_unstable(middle);
        let kept_from = *middle;
        self.sound_at.retain(|_, begun_at| *begun_at >= kept_from);
    }
}
