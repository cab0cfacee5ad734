//! Evidence for and against parts of prompts, and the verdict on it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

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
    /// Least time between two successive ends. The targets of a rack end within less, and take repeated
    /// requests along.
    pub min_end_distance_ms: Millis,
    /// Number of successive ends from which on a request with the part isn't sent to a second target.
    pub suspected_ends: u32,
    /// Least number of sound streams before the first end, all without the part, that speak against it as
    /// well while it is in nearly all ends since: it is new, and nothing else is.
    pub min_earlier_streams: u64,
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
            min_other_streams: 16,
            min_end_distance_ms: Millis(150),
            suspected_ends: 2,
            min_earlier_streams: 64,
            alone_after_ms: Millis(5_000),
            valid_ms: Millis(60_000),
            max_parts: 256,
            max_sound_parts: 4_096,
        }
    }
}

/// A part is in nearly all ends if at most one in so many is without it.
const NEARLY_ALL: usize = 5;

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

    /// When the second target ended; since then other processes are told of the part.
    fn suspected_at(&self) -> Millis {
        let mut ended: Vec<Millis> = self.ends.values().map(|end| end.ended_at).collect();
        ended.sort_unstable();
        ended.get(1).copied().unwrap_or(Millis::MAX)
    }

    /// Whether the ends that nothing else explains suffice for a verdict.
    fn suffices_without(
        &self,
        explained: &BTreeSet<TargetRun>,
        settings: &QuarantineSettings,
    ) -> bool {
        let ends = self.ends.iter().filter(|(run, _)| !explained.contains(run));
        let ends: Vec<&TargetEnd> = ends.map(|(_, end)| end).collect();
        ends.len() >= settings.min_ends as usize
            && count_successive(ends, settings.min_end_distance_ms) >= settings.min_successive_ends
    }

    fn ends(&self) -> u32 {
        u32::try_from(self.ends.len()).unwrap_or(u32::MAX)
    }
}

/// Largest number of ends of which each request was sent after the target before had ended.
fn count_successive(mut ends: Vec<&TargetEnd>, min_distance_ms: Millis) -> u32 {
    ends.sort_unstable_by_key(|end| end.ended_at);
    let mut count = 0;
    let mut last_ended_at = Millis::ZERO;
    for end in ends {
        let is_distant = end.ended_at >= last_ended_at + min_distance_ms;
        if count == 0 || is_distant && end.sent_at >= last_ended_at {
            count += 1;
            last_ended_at = end.ended_at;
        }
    }
    count
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
        self.limit_suspicions();
        true
    }

    /// Counts streams that are sound.
    pub const fn count_sound_streams(&mut self, count: u64) {
        self.sound_streams += count;
    }

    /// Clears the parts that an operator has taken out of the quarantine of the evidence so far.
    pub(super) fn clear_lifted(
        &mut self,
        before: &BTreeSet<PromptPart>,
        after: &BTreeSet<PromptPart>,
        now: Millis,
    ) {
        for lifted in before.difference(after) {
            self.record_sound(*lifted, now);
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
        suspicion.is_some_and(|it| self.successive_ends(it) >= self.settings.suspected_ends)
    }

    /// All ends that count, with their part and target.
    pub fn ends(&self) -> impl Iterator<Item = (PromptPart, &TargetRun, &TargetEnd)> {
        let suspicions = self.suspicions.iter();
        suspicions.flat_map(|(part, suspicion)| {
            let ends = suspicion.ends.iter();
            ends.map(|(run, end)| (*part, run, end))
        })
    }

    /// The parts with several ends, those with the most ends first.
    #[must_use]
    pub fn suspects(&self, now: Millis) -> Vec<SuspectPart> {
        let suspicions = self.suspicions.iter();
        let mut suspects: Vec<SuspectPart> = suspicions
            .filter(|(_, suspicion)| suspicion.ends.len() > 1)
            .map(|(part, suspicion)| SuspectPart {
                part: *part,
                ends: suspicion.ends(),
                successive_ends: self.successive_ends(suspicion),
                first_end_age_ms: now - suspicion.first_ended_at(),
                is_harmful: suspicion.is_harmful,
            })
            .collect();
        suspects.sort_unstable_by_key(|it| (!it.is_harmful, u32::MAX - it.ends, it.part));
        suspects
    }

    /// Decides which parts are harmful. No part is judged before `settle_ms` after its second end: sound
    /// streams with it need that time to become known here. Parts for which `is_known` holds are
    /// quarantined already.
    ///
    /// All parts of the requests that were at an ended target share the blame, so ends that a harmful part
    /// explains don't count against others. Parts that were never seen in a sound stream are judged first.
    pub fn judge(&mut self, settle_ms: Millis, is_known: impl Fn(PromptPart) -> bool, now: Millis) {
        let mut explained: BTreeSet<TargetRun> = BTreeSet::new();
        let mut open = Vec::new();
        for (part, suspicion) in &self.suspicions {
            if suspicion.is_harmful || is_known(*part) {
                explained.extend(suspicion.ends.keys().cloned());
            } else if suspicion.ends() >= self.settings.min_ends {
                open.push((self.sound_at(*part), u32::MAX - suspicion.ends(), *part));
            }
        }
        open.sort_unstable();
        let new_in_all_ends: Vec<PromptPart> = open
            .iter()
            .filter(|(sound_at, _, part)| sound_at.is_none() && self.is_in_nearly_all_ends(*part))
            .map(|(_, _, part)| *part)
            .collect();
        for (_, _, part) in open {
            let Some(suspicion) = self.suspicions.get_mut(&part) else {
                continue;
            };
            let is_settled = now >= suspicion.suspected_at() + settle_ms;
            let others = self.sound_streams - suspicion.streams_before;
            let has_contrast =
                others >= self.settings.min_other_streams || new_in_all_ends.contains(&part);
            if is_settled && has_contrast && suspicion.suffices_without(&explained, &self.settings)
            {
                suspicion.is_harmful = true;
                explained.extend(suspicion.ends.keys().cloned());
            }
        }
    }

    /// Whether a part is in nearly all ends since its first one, after many sound streams without it.
    fn is_in_nearly_all_ends(&self, part: PromptPart) -> bool {
        let Some(suspicion) = self.suspicions.get(&part) else {
            return false;
        };
        if suspicion.streams_before < self.settings.min_earlier_streams {
            return false;
        }
        let since = suspicion.first_ended_at();
        let ends = self.suspicions.values().flat_map(|it| &it.ends);
        let ends = ends.filter(|(_, end)| end.ended_at >= since);
        let all: BTreeSet<&TargetRun> = ends.map(|(run, _)| run).collect();
        let others = all.iter().filter(|run| !suspicion.ends.contains_key(**run));
        others.count() * NEARLY_ALL <= all.len()
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

    fn successive_ends(&self, suspicion: &Suspicion) -> u32 {
        let ends = suspicion.ends.values().collect();
        count_successive(ends, self.settings.min_end_distance_ms)
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
