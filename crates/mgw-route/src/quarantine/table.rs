//! The evidence of all entries, collected by one control.

use std::collections::{BTreeMap, BTreeSet};

use mgw_world::{Millis, Subject};

use super::evidence::Evidence;
use super::report::{EvidenceReport, QuarantineUpdate, SoundSubject};
use super::suspicion::TargetEnd;
use super::trial::Trials;
use super::verdict::SettleTimes;
use crate::chain::report_interval_ms;

/// Report intervals until sound streams with a suspected part are known: one until all entries have heard
/// of it, another one until they have reported.
const PART_SETTLE_INTERVALS: u64 = 2;
/// Report intervals until sound answers to a suspected request are known, which entries report at once.
const REQUEST_SETTLE_INTERVALS: u64 = 1;
/// Time on top of that for a sound answer to begin.
const SETTLE_SLACK_MS: Millis = Millis(300);
/// Time without an exchange after which entries are taken to have used another control meanwhile.
const MAX_EXCHANGE_GAP_MS: Millis = Millis(5_000);
/// Most subjects under suspicion that an entry is told of.
const MAX_TOLD_SUSPECTS: usize = 64;

/// Evidence of all entries, kept in memory by the control that also collects their load reports, and by
/// those that take its place. A control that takes over gets it anew, as entries report their own
/// evidence again and again.
#[derive(Debug, Clone, Default)]
pub struct QuarantineTable {
    evidence: Evidence,
    /// Sound streams that each entry last reported.
    sound_streams: BTreeMap<String, u64>,
    /// When entries began to exchange reports with this control.
    started_at: Millis,
    /// When an entry last did so.
    exchanged_at: Option<Millis>,
    revision: u64,
    quarantined: BTreeSet<Subject>,
    trials: Trials,
}

impl QuarantineTable {
    /// Takes the list of quarantined subjects that the controls have committed. Those that were lifted
    /// since are cleared of the evidence so far.
    pub fn set_quarantined(
        &mut self,
        revision: u64,
        quarantined: impl Iterator<Item = Subject>,
        now: Millis,
    ) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        let quarantined: BTreeSet<Subject> = quarantined.collect();
        self.evidence
            .clear_lifted(&self.quarantined, &quarantined, now);
        self.quarantined = quarantined;
    }

    /// Adds an entry's evidence and returns what the entry is to know.
    pub fn exchange(
        &mut self,
        entry: &str,
        report: &EvidenceReport,
        now: Millis,
    ) -> QuarantineUpdate {
        let exchanged_at = self.exchanged_at.replace(now);
        if exchanged_at.is_none_or(|at| now - at > MAX_EXCHANGE_GAP_MS) {
            self.started_at = now;
        }
        self.record(entry, report, now);
        self.judge(now);
        let mut suspects = self.evidence.suspects(now);
        suspects.truncate(MAX_TOLD_SUSPECTS);
        QuarantineUpdate {
            revision: self.revision,
            quarantined: self.quarantined.iter().copied().collect(),
            suspects,
            sound: self.find_sound(report, now),
            trials: self.grant_trials(report, now),
        }
    }

    /// Grants trials of requests that callers have sent to the entry. More ends than were needed for the verdict
    /// leave no doubt.
    fn grant_trials(&mut self, report: &EvidenceReport, now: Millis) -> Vec<Subject> {
        let wanted = report.wanted.iter().copied();
        let granted = wanted.filter(|subject| {
            let doubtful = self.evidence.doubtful_request(*subject);
            let last_ended_at = doubtful.map(|it| it.last_ended_at());
            last_ended_at.is_some_and(|at| self.trials.grant(*subject, at, now))
        });
        granted.collect()
    }

    /// The quarantined requests that were sound when they were tried.
    #[must_use]
    pub fn to_lift(&self) -> Vec<Subject> {
        let mut passed = self.trials.passed(|it| self.evidence.sound_at(it));
        passed.retain(|it| self.quarantined.contains(it));
        passed
    }

    /// Adds the evidence of an entry that exchanges reports with another control.
    pub fn record(&mut self, entry: &str, report: &EvidenceReport, now: Millis) {
        self.evidence.expire(now);
        for sound in &report.sound {
            self.evidence
                .record_sound(sound.subject, now - sound.begun_age_ms);
        }
        self.count_sound_streams(entry, report.sound_streams);
        for end in &report.ends {
            let times = TargetEnd {
                sent_at: now - end.sent_age_ms,
                ended_at: now - end.ended_age_ms,
            };
            self.evidence.record_end(end.subject, &end.run, times);
        }
    }

    /// The subjects of a report that were sound since the end that it tells of.
    fn find_sound(&self, report: &EvidenceReport, now: Millis) -> Vec<SoundSubject> {
        let suspected: BTreeSet<Subject> = report.ends.iter().map(|end| end.subject).collect();
        let sound = suspected.into_iter().filter_map(|subject| {
            let begun_at = self.evidence.sound_at(subject)?;
            Some(SoundSubject {
                subject,
                begun_age_ms: now - begun_at,
            })
        });
        sound.collect()
    }

    /// Decides which subjects are harmful. Until all entries can have told what speaks for subjects, only
    /// requests are judged that were never sound.
    fn judge(&mut self, now: Millis) {
        let settle_ms = |intervals| {
            if self.has_heard_all(intervals, now) {
                self.settle_ms(intervals)
            } else {
                Millis::MAX
            }
        };
        let settle = SettleTimes {
            parts_ms: settle_ms(PART_SETTLE_INTERVALS),
            requests_ms: settle_ms(REQUEST_SETTLE_INTERVALS),
        };
        let quarantined = &self.quarantined;
        self.evidence
            .judge(settle, |subject| quarantined.contains(&subject), now);
    }

    /// Whether entries have exchanged reports with this control for so many intervals.
    fn has_heard_all(&self, intervals: u64, now: Millis) -> bool {
        now - self.started_at >= self.settle_ms(intervals)
    }

    /// Time until every entry has heard of a suspected subject and has reported what speaks for it.
    fn settle_ms(&self, intervals: u64) -> Millis {
        let entries = u32::try_from(self.sound_streams.len()).unwrap_or(u32::MAX);
        report_interval_ms(entries).times(intervals) + SETTLE_SLACK_MS
    }

    /// Adds the streams since the entry's last report. An entry that has restarted counts from zero; the
    /// first report of an entry doesn't tell when its streams were.
    fn count_sound_streams(&mut self, entry: &str, total: u64) {
        let previous = self.sound_streams.insert(entry.to_owned(), total);
        let added = match previous {
            Some(previous) if total >= previous => total - previous,
            Some(_) => total,
            None => 0,
        };
        if added > 0 {
            self.evidence.count_sound_streams(added);
        }
    }
}
