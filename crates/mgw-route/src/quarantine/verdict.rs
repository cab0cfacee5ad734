//! Which subjects are harmful, by the ends under them and by what speaks for them.

use std::collections::{BTreeSet, HashMap};

use mgw_world::{Millis, Subject};

use super::evidence::{Evidence, QuarantineSettings};
use super::suspicion::{Suspicion, count_successive};
use crate::exclusions::TargetRun;

/// Times after the second end until what speaks for a subject is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettleTimes {
    /// For parts of prompts.
    pub parts_ms: Millis,
    /// For requests that were sound before.
    pub requests_ms: Millis,
}

/// A part is in nearly all ends if at most one in so many is without it.
const NEARLY_ALL: usize = 5;

impl Evidence {
    /// Decides which subjects are harmful. Subjects for which `is_known` holds are quarantined already.
    pub fn judge(&mut self, settle: SettleTimes, is_known: impl Fn(Subject) -> bool, now: Millis) {
        self.judge_requests(settle.requests_ms, &is_known, now);
        self.judge_parts(settle.parts_ms, &is_known, now);
    }

    /// A request that was never seen sound is harmful after [`QuarantineSettings::min_request_ends`]: nothing
    /// but the request itself is in all these ends. One that was sound before needs ends that followed one
    /// another as well, as a part does, and isn't judged before its sound answers could become known.
    ///
    /// The other requests that were at a target when it ended share the blame, so ends that a harmful part
    /// explains don't count, and a request is spared for which something with more ends explains all of them.
    fn judge_requests(
        &mut self,
        settle_ms: Millis,
        is_known: &impl Fn(Subject) -> bool,
        now: Millis,
    ) {
        let explained = self.explained_by(|subject, it| {
            !subject.is_request() && (it.is_harmful || is_known(subject))
        });
        let verdicts: Vec<(Subject, bool, bool)> = self
            .suspicions
            .iter()
            .filter(|(subject, it)| {
                let is_suspect = it.ends() >= self.settings.min_request_ends;
                subject.is_request() && (is_suspect || it.is_harmful)
            })
            .map(|(subject, it)| {
                let ends = it.unexplained(&explained);
                let is_settled = now - it.suspected_at() >= settle_ms;
                let has_ends = ends.len() >= self.settings.min_request_ends as usize;
                let has_been_sound = self.sound_at(*subject).is_some();
                let successive = count_successive(ends, self.settings.min_end_distance_ms);
                let are_successive = successive >= self.settings.min_successive_ends;
                let is_harmful = has_ends && (!has_been_sound || is_settled && are_successive);
                let is_harmful = is_harmful && !self.is_explained_by_another(*subject, it);
                (*subject, is_harmful, is_settled)
            })
            .collect();
        for (subject, is_harmful, is_settled) in verdicts {
            if let Some(suspicion) = self.suspicions.get_mut(&subject) {
                suspicion.is_harmful = is_harmful;
                suspicion.is_settled = is_settled;
            }
        }
    }

    /// Whether something else was at all of these ends and at further ones. That explains a few ends only, as
    /// a sound request doesn't stay unanswered for long.
    fn is_explained_by_another(&self, subject: Subject, suspicion: &Suspicion) -> bool {
        if suspicion.ends() >= self.settings.max_explained_ends {
            return false;
        }
        let others = self.suspicions.iter();
        let mut others =
            others.filter(|(other, it)| **other != subject && it.ends() > suspicion.ends());
        others.any(|(_, it)| suspicion.is_within(it))
    }

    /// No part is judged before `settle_ms` after its second end: sound streams with it need that time to
    /// become known here.
    ///
    /// All parts of the requests that were at an ended target share the blame, so ends that a harmful part
    /// explains don't count against others. Parts that were never seen in a sound stream are judged first. Ends
    /// under a single request, which is harmful by itself, don't count against the parts of its prompt.
    fn judge_parts(&mut self, settle_ms: Millis, is_known: &impl Fn(Subject) -> bool, now: Millis) {
        let mut explained = self.explained_by(|subject, it| {
            !subject.is_request() && (it.is_harmful || is_known(subject))
        });
        for part in self.open_parts(is_known) {
            let Some(suspicion) = self.suspicions.get(&part) else {
                continue;
            };
            let is_settled = now - suspicion.suspected_at() >= settle_ms;
            let suffices = suffices_without(suspicion, &explained, &self.settings);
            if is_settled && self.has_contrast(part, suspicion) && suffices {
                explained.extend(suspicion.ends.keys().cloned());
                self.suspicions.entry(part).and_modify(|it| {
                    it.is_harmful = true;
                    it.is_settled = true;
                });
            }
        }
    }

    /// Parts with enough ends for a verdict that aren't harmful yet, those that were never sound first.
    fn open_parts(&self, is_known: &impl Fn(Subject) -> bool) -> Vec<Subject> {
        let harmful_requests: Vec<&Suspicion> = self
            .suspicions
            .iter()
            .filter(|(subject, it)| subject.is_request() && it.is_harmful)
            .map(|(_, it)| it)
            .collect();
        let is_due_to_request =
            |suspicion: &Suspicion| harmful_requests.iter().any(|it| suspicion.is_within(it));
        let mut open: Vec<_> = self
            .suspicions
            .iter()
            .filter(|(subject, it)| {
                let is_open = !it.is_harmful && !is_known(**subject);
                let has_ends = it.ends() >= self.settings.min_ends;
                !subject.is_request() && is_open && has_ends && !is_due_to_request(it)
            })
            .map(|(part, it)| (self.sound_at(*part), u32::MAX - it.ends(), *part))
            .collect();
        open.sort_unstable();
        open.into_iter().map(|(_, _, part)| part).collect()
    }

    /// Whether enough sound streams without the part show that the targets aren't at fault.
    fn has_contrast(&self, part: Subject, suspicion: &Suspicion) -> bool {
        let others = self.sound_streams() - suspicion.streams_before;
        let is_new = self.sound_at(part).is_none();
        others >= self.settings.min_other_streams
            || is_new && is_in_nearly_all_ends(suspicion, &self.suspicions, &self.settings)
    }

    /// The targets whose end a subject explains.
    fn explained_by(&self, explains: impl Fn(Subject, &Suspicion) -> bool) -> BTreeSet<TargetRun> {
        let explaining = self.suspicions.iter();
        let explaining = explaining.filter(|(subject, it)| explains(**subject, it));
        explaining
            .flat_map(|(_, it)| it.ends.keys().cloned())
            .collect()
    }
}

/// Whether the ends that nothing else explains suffice for a verdict on a part.
fn suffices_without(
    suspicion: &Suspicion,
    explained: &BTreeSet<TargetRun>,
    settings: &QuarantineSettings,
) -> bool {
    let ends = suspicion.unexplained(explained);
    ends.len() >= settings.min_ends as usize
        && count_successive(ends, settings.min_end_distance_ms) >= settings.min_successive_ends
}

/// Whether a part is in nearly all ends since its first one, after many sound streams without it.
fn is_in_nearly_all_ends(
    suspicion: &Suspicion,
    all: &HashMap<Subject, Suspicion>,
    settings: &QuarantineSettings,
) -> bool {
    if suspicion.streams_before < settings.min_earlier_streams {
        return false;
    }
    let since = suspicion.first_ended_at();
    let parts = all.iter().filter(|(subject, _)| !subject.is_request());
    let ends = parts.flat_map(|(_, it)| &it.ends);
    let ends = ends.filter(|(_, end)| end.ended_at >= since);
    let all_runs: BTreeSet<&TargetRun> = ends.map(|(run, _)| run).collect();
    let others = all_runs
        .iter()
        .filter(|run| !suspicion.ends.contains_key(**run));
    others.count() * NEARLY_ALL <= all_runs.len()
}
