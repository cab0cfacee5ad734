//! The evidence of all entries, collected by one control.

use std::collections::{BTreeMap, BTreeSet};

use mgw_world::{Millis, PromptPart};

use super::evidence::{PartEvidence, TargetEnd};
use super::report::{EvidenceReport, QuarantineUpdate};
use crate::chain::report_interval_ms;

/// Report intervals until sound streams with a suspected part are known: one until all entries have heard
/// of it, another one until they have reported.
const SETTLE_INTERVALS: u64 = 2;
/// Time on top of that for a sound stream to begin.
const SETTLE_SLACK_MS: Millis = Millis(300);
/// Most parts under suspicion that an entry is told of.
const MAX_TOLD_SUSPECTS: usize = 64;

/// Evidence of all entries, kept in memory by the control that also collects their load reports. A
/// control that takes over gets it anew, as entries report their own evidence again and again.
#[derive(Debug, Clone, Default)]
pub struct QuarantineTable {
    evidence: PartEvidence,
    /// Sound streams that each entry last reported.
    sound_streams: BTreeMap<String, u64>,
    /// When the first report came.
    started_at: Option<Millis>,
    revision: u64,
    quarantined: BTreeSet<PromptPart>,
}

impl QuarantineTable {
    /// Takes the list of quarantined parts that the controls have committed. Parts that were lifted
    /// since are cleared of the evidence so far.
    pub fn set_quarantined(
        &mut self,
        revision: u64,
        quarantined: impl Iterator<Item = PromptPart>,
        now: Millis,
    ) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        let quarantined: BTreeSet<PromptPart> = quarantined.collect();
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
        self.evidence.expire(now);
        for sound in &report.sound {
            self.evidence
                .record_sound(sound.part, now - sound.begun_age_ms);
        }
        self.count_sound_streams(entry, report.sound_streams);
        for end in &report.ends {
            let times = TargetEnd {
                sent_at: now - end.sent_age_ms,
                ended_at: now - end.ended_age_ms,
            };
            self.evidence.record_end(end.part, &end.run, times);
        }
        self.judge(now);
        let mut suspects = self.evidence.suspects(now);
        suspects.truncate(MAX_TOLD_SUSPECTS);
        QuarantineUpdate {
            revision: self.revision,
            quarantined: self.quarantined.iter().copied().collect(),
            suspects,
        }
    }

    /// Decides which parts are harmful, once all entries have had the time to tell what speaks for them.
    fn judge(&mut self, now: Millis) {
        let started_at = *self.started_at.get_or_insert(now);
        let settle_ms = self.settle_ms();
        if now >= started_at + settle_ms {
            let quarantined = &self.quarantined;
            self.evidence
                .judge(settle_ms, |part| quarantined.contains(&part), now);
        }
    }

    /// Time until every entry has heard of a suspected part and has reported its sound streams with it.
    fn settle_ms(&self) -> Millis {
        let entries = u32::try_from(self.sound_streams.len()).unwrap_or(u32::MAX);
        report_interval_ms(entries).times(SETTLE_INTERVALS) + SETTLE_SLACK_MS
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
