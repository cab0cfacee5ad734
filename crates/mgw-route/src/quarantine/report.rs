//! What entries and controls tell one another about parts of prompts. Times are ages, as clocks of
//! processes can't be compared.

use mgw_world::{Millis, PromptPart};
use serde::{Deserialize, Serialize};

use crate::exclusions::TargetRun;

/// One entry's evidence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Ends of targets under requests of this entry.
    pub ends: Vec<ReportedEnd>,
    /// The last sound stream of this entry with each part under suspicion.
    pub sound: Vec<SoundPart>,
    /// Number of sound streams since the entry started.
    pub sound_streams: u64,
}

/// The end of a target under a request with a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEnd {
    /// The part.
    pub part: PromptPart,
    /// The target that ended.
    pub run: TargetRun,
    /// Time since the request was sent to it.
    pub sent_age_ms: Millis,
    /// Time since its connection broke.
    pub ended_age_ms: Millis,
}

/// A part with which a stream was sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundPart {
    /// The part.
    pub part: PromptPart,
    /// Time since the stream began.
    pub begun_age_ms: Millis,
}

/// A part under whose requests several targets have ended without a sound stream since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPart {
    /// The part.
    pub part: PromptPart,
    /// Number of targets that ended.
    pub ends: u32,
    /// Number of them that ended one after the other.
    pub successive_ends: u32,
    /// Time since the first of them ended.
    pub first_end_age_ms: Millis,
    /// Whether the evidence suffices for the quarantine.
    pub is_harmful: bool,
}

/// What a control tells an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Revision of the list of quarantined parts; lists with lower ones are outdated.
    pub revision: u64,
    /// The parts that the controls have committed to quarantine.
    pub quarantined: Vec<PromptPart>,
    /// Parts under suspicion by the evidence of all entries.
    pub suspects: Vec<SuspectPart>,
}

impl QuarantineUpdate {
    /// Harmful parts that aren't committed to the quarantine yet.
    pub fn uncommitted(&self) -> impl Iterator<Item = &SuspectPart> {
        let suspects = self.suspects.iter();
        suspects.filter(|it| it.is_harmful && !self.quarantined.contains(&it.part))
    }
}
