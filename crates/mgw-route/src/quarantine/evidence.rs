//! Evidence for and against parts of prompts, and the verdict on it.

use std::collections::{BTreeMap, HashMap};

use mgw_world::{Millis, PromptPart};

use super::report::SuspectPart;
use crate::exclusions::TargetRun;

/// Settings for the verdict on a part.
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
    /// Number of successive ends from which on a request with the part isn't sent to a second target.
    pub suspected_ends: u32,
    /// Time without word from a control after which an entry acts by its own evidence alone.
    pub alone_after_ms: Millis,
    /// How long an end counts.
    pub valid_ms: Millis,
    /// Most parts with ends that are remembered.
    pub max_parts: usize,
    /// Most parts whose last sound stream is remembered.
    pub max_sound_parts: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            min_ends: 4,
            min_successive_ends: 2,
            min_other_streams: 8,
            suspected_ends: 2,
            alone_after_ms: Millis(5_000),
            valid_ms: Millis(60_000),
            max_parts: 256,
            max_sound_parts: 4_096,
        }
    }
}

/// The end of a target under a request that hadn't been seen to be sound there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetEnd {
    /// When the request was sent to the target.
    pub sent_at: Millis,
    /// When its connection broke.
    pub ended_at: Millis,
}

/// Ends under requests with one part, since its last sound stream.
#[derive(Debug, Clone, Default)]
struct Suspicion {
    ends: BTreeMap<TargetRun, TargetEnd>,
    /// Number of sound streams before the first end.
    streams_before: u64,
    is_harmful: bool,
}

impl Suspicion {
    fn first_ended_at(&self) -> Millis {
        let ended = self.ends.values().map(|end| end.ended_at);
        ended.min().unwrap_or_default()
    }

    /// Largest number of ends of which each request was sent after the target before had ended.
    fn successive_ends(&self) -> u32 {
        let mut ends: Vec<&TargetEnd> = self.ends.values().collect();
        ends.sort_unstable_by_key(|end| end.ended_at);
        let mut count = 0;
        let mut last_ended_at = Millis::ZERO;
        for end in ends {
            if count == 0 || end.sent_at >= last_ended_at {
                count += 1;
                last_ended_at = end.ended_at;
            }
        }
        count
    }

    fn ends(&self) -> u32 {
        u32::try_from(self.ends.len()).unwrap_or(u32::MAX)
    }
}

/// Evidence on parts of prompts that one process has.
///
/// An end names each shared part of the requests that were at the target and hadn't begun. A sound
/// stream clears all its parts of the ends before it. What remains after several ends is harmful. The
/// order in which evidence is recorded doesn't matter, nor whether it is recorded twice.
#[derive(Debug, Clone, Default)]
pub struct PartEvidence {
    settings: QuarantineSettings,
    suspicions: HashMap<PromptPart, Suspicion>,
    /// When the last sound stream with each part began.
    sound_at: HashMap<PromptPart, Millis>,
    sound_streams: u64,
}

impl PartEvidence {
    /// Creates a process's evidence without any entry.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that a target ended under a request with the part. Returns whether that is new.
    pub fn record_end(&mut self, part: PromptPart, run: &TargetRun, end: TargetEnd) -> bool {
        let sound_at = self.sound_at.get(&part);
        if sound_at.is_some_and(|at| *at >= end.ended_at) {
            return false;
        }
        let streams_before = self.sound_streams;
        let suspicion = self.suspicions.entry(part).or_insert_with(|| Suspicion {
            streams_before,
            ..Suspicion::default()
        });
        if suspicion.ends.contains_key(run) {
            return false;
        }
        suspicion.ends.insert(run.clone(), end);
        self.judge(part);
        self.limit_suspicions();
        true
    }

    /// Counts streams that are sound.
    pub fn count_sound_streams(&mut self, count: u64) {
        self.sound_streams += count;
        let suspected: Vec<PromptPart> = self.suspicions.keys().copied().collect();
        for part in suspected {
            self.judge(part);
        }
    }

    /// Records that a stream with the part began then and went on.
    pub fn record_sound(&mut self, part: PromptPart, begun_at: Millis) {
        let sound_at = self.sound_at.entry(part).or_default();
        *sound_at = begun_at.max(*sound_at);
        self.limit_sound_parts();
        let Some(suspicion) = self.suspicions.get_mut(&part) else {
            return;
        };
        suspicion.ends.retain(|_, end| end.ended_at > begun_at);
        suspicion.is_harmful = false;
        suspicion.streams_before = self.sound_streams;
        if suspicion.ends.is_empty() {
            self.suspicions.remove(&part);
        }
    }

    /// When the last sound stream with the part began.
    #[must_use]
    pub fn sound_at(&self, part: PromptPart) -> Option<Millis> {
        self.sound_at.get(&part).copied()
    }

    /// Number of sound streams so far.
    #[must_use]
    pub const fn sound_streams(&self) -> u64 {
        self.sound_streams
    }

    /// Whether the part ends targets, by this process's evidence.
    #[must_use]
    pub fn is_harmful(&self, part: PromptPart) -> bool {
        let suspicion = self.suspicions.get(&part);
        suspicion.is_some_and(|suspicion| suspicion.is_harmful)
    }

    /// Whether requests with the part shouldn't be sent to a second target.
    #[must_use]
    pub fn is_suspected(&self, part: PromptPart) -> bool {
        let suspicion = self.suspicions.get(&part);
        suspicion.is_some_and(|it| it.successive_ends() >= self.settings.suspected_ends)
    }

    /// All ends that count, with their part and target.
    pub fn ends(&self) -> impl Iterator<Item = (PromptPart, &TargetRun, &TargetEnd)> {
        let suspicions = self.suspicions.iter();
        suspicions.flat_map(|(part, suspicion)| {
            let ends = suspicion.ends.iter();
            ends.map(|(run, end)| (*part, run, end))
        })
    }

    /// The parts with ends, those with the most ends first.
    #[must_use]
    pub fn suspects(&self, now: Millis) -> Vec<SuspectPart> {
        let suspicions = self.suspicions.iter();
        let mut suspects: Vec<SuspectPart> = suspicions
            .map(|(part, suspicion)| SuspectPart {
                part: *part,
                ends: suspicion.ends(),
                successive_ends: suspicion.successive_ends(),
                first_end_age_ms: now - suspicion.first_ended_at(),
                is_harmful: suspicion.is_harmful,
            })
            .collect();
        suspects.sort_unstable_by_key(|it| (!it.is_harmful, u32::MAX - it.ends, it.part));
        suspects
    }

    /// Drops ends that no longer count. A verdict stays until a sound stream or an operator lifts it.
    pub fn expire(&mut self, now: Millis) {
        let valid_ms = self.settings.valid_ms;
        self.suspicions.retain(|_, suspicion| {
            if suspicion.is_harmful {
                return true;
            }
            suspicion
                .ends
                .retain(|_, end| now - end.ended_at <= valid_ms);
            !suspicion.ends.is_empty()
        });
    }

    fn judge(&mut self, part: PromptPart) {
        let settings = self.settings;
        let sound_streams = self.sound_streams;
        if let Some(suspicion) = self.suspicions.get_mut(&part) {
            let others = sound_streams - suspicion.streams_before;
            suspicion.is_harmful |= suspicion.ends() >= settings.min_ends
                && others >= settings.min_other_streams
                && suspicion.successive_ends() >= settings.min_successive_ends;
        }
    }

    /// Drops the part with the fewest and oldest ends while there are too many.
    fn limit_suspicions(&mut self) {
        while self.suspicions.len() > self.settings.max_parts {
            let suspicions = self.suspicions.iter();
            let weakest = suspicions.min_by_key(|(part, it)| {
                (it.is_harmful, it.ends.len(), it.first_ended_at(), **part)
            });
            let Some(weakest) = weakest.map(|(part, _)| *part) else {
                return;
            };
            self.suspicions.remove(&weakest);
        }
    }

    /// Drops the older half of the sound parts when there are too many.
    fn limit_sound_parts(&mut self) {
        if self.sound_at.len() <= self.settings.max_sound_parts {
            return;
        }
        let mut begun: Vec<Millis> = self.sound_at.values().copied().collect();
        let middle = begun.len() / 2;
        let (_, middle, _) = begun.select_nth_unstable(middle);
        let kept_from = *middle;
        self.sound_at.retain(|_, begun_at| *begun_at >= kept_from);
    }
}
