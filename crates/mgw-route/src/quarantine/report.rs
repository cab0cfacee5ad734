//! What entries and controls tell one another about what targets end under. Times are ages, as clocks of
//! processes can't be compared.

use mgw_world::{Millis, Subject};
use serde::{Deserialize, Serialize};

use crate::exclusions::TargetRun;

/// One entry's evidence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Ends of targets under requests of this entry.
    pub ends: Vec<ReportedEnd>,
    /// When subjects under suspicion were last sound at this entry.
    pub sound: Vec<SoundSubject>,
    /// Number of sound streams since the entry started.
    pub sound_streams: u64,
    /// Quarantined requests that callers have sent since a control last answered.
    pub wanted: Vec<Subject>,
}

/// The end of a target under a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEnd {
    /// The request, or a part of its prompt.
    pub subject: Subject,
    /// The target that ended.
    pub run: TargetRun,
    /// Time since the request was sent to it.
    pub sent_age_ms: Millis,
    /// Time since its connection broke.
    pub ended_age_ms: Millis,
}

/// A subject under which a target lived on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundSubject {
    /// The subject.
    pub subject: Subject,
    /// Time since the answer began that shows it.
    pub begun_age_ms: Millis,
}

/// A subject under which several targets have ended, without a sound answer since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The subject.
    pub subject: Subject,
    /// Number of targets that ended.
    pub ends: u32,
    /// Number of them that ended one after the other.
    pub successive_ends: u32,
    /// Time since the first of them ended.
    pub first_end_age_ms: Millis,
    /// Whether the evidence suffices to keep it from targets.
    pub is_harmful: bool,
    /// Whether all entries have had the time to tell what speaks for it.
    pub is_settled: bool,
}

/// What a control tells an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Revision of the list of quarantined subjects; lists with lower ones are outdated.
    pub revision: u64,
    /// The subjects that the controls have committed to quarantine.
    pub quarantined: Vec<Subject>,
    /// Subjects under suspicion by the evidence of all entries.
    pub suspects: Vec<Suspect>,
    /// Subjects that the entry suspects and that were sound elsewhere.
    pub sound: Vec<SoundSubject>,
    /// Quarantined requests of which the entry may send the next one to a target.
    pub trials: Vec<Subject>,
}

impl QuarantineUpdate {
    /// Harmful subjects that are to be committed to the quarantine.
    pub fn to_commit(&self) -> impl Iterator<Item = &Suspect> {
        let suspects = self.suspects.iter();
        suspects
            .filter(|it| it.is_harmful && it.is_settled && !self.quarantined.contains(&it.subject))
    }
}
