//! The parts of prompts and the requests that are kept from targets.

use std::collections::BTreeMap;

use mgw_contract::operator::QuarantinedSubject;
use mgw_world::{PromptPart, RequestDigest, Subject, UnixMillis};
use serde::{Deserialize, Serialize};

/// Most subjects in quarantine; beyond it the oldest is taken out.
const MAX_SUBJECTS: usize = 1_000;

/// The subjects in quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredQuarantine", into = "StoredQuarantine")]
pub struct Quarantine {
    revision: u64,
    subjects: BTreeMap<Subject, QuarantinedSubject>,
}

impl Quarantine {
    /// Number of changes so far.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The subjects in quarantine, parts of prompts first, each kind ordered by digest.
    pub fn subjects(&self) -> impl Iterator<Item = &QuarantinedSubject> {
        self.subjects.values()
    }

    /// Adds a subject. Returns whether that is new.
    pub(crate) fn add(&mut self, quarantined: QuarantinedSubject) -> bool {
        if self.subjects.contains_key(&quarantined.subject) {
            return false;
        }
        self.subjects.insert(quarantined.subject, quarantined);
        self.revision += 1;
        self.limit();
        true
    }

    /// Removes a subject. Returns whether it was in quarantine.
    pub(crate) fn lift(&mut self, subject: Subject) -> bool {
        let was_in = self.subjects.remove(&subject).is_some();
        self.revision += u64::from(was_in);
        was_in
    }

    fn limit(&mut self) {
        if self.subjects.len() <= MAX_SUBJECTS {
            return;
        }
        let oldest = self.subjects.values().min_by_key(|it| it.since_unix_ms);
        if let Some(oldest) = oldest.map(|it| it.subject) {
            self.subjects.remove(&oldest);
        }
    }
}

/// The quarantine as snapshots hold it. Earlier builds wrote all but the last field.
#[derive(Serialize, Deserialize)]
struct StoredQuarantine {
    revision: u64,
    parts: BTreeMap<PromptPart, StoredPart>,
    requests: BTreeMap<RequestDigest, Verdict>,
}

/// A quarantined part of prompts.
#[derive(Serialize, Deserialize)]
struct StoredPart {
    part: PromptPart,
    verdict: Verdict,
}

#[derive(Serialize, Deserialize)]
struct Verdict {
    since_unix_ms: UnixMillis,
    evidence: String,
}

impl Verdict {
    fn on(self, subject: Subject) -> (Subject, QuarantinedSubject) {
        let quarantined = QuarantinedSubject {
            subject,
            since_unix_ms: self.since_unix_ms,
            evidence: self.evidence,
        };
        (subject, quarantined)
    }
}

impl From<StoredQuarantine> for Quarantine {
    fn from(stored: StoredQuarantine) -> Self {
        let parts = stored.parts.into_values();
        let parts = parts.map(|it| it.verdict.on(it.part.into()));
        let requests = stored.requests.into_iter();
        let requests = requests.map(|(request, verdict)| verdict.on(request.into()));
        Self {
            revision: stored.revision,
            subjects: parts.chain(requests).collect(),
        }
    }
}

impl From<Quarantine> for StoredQuarantine {
    fn from(quarantine: Quarantine) -> Self {
        let mut stored = Self {
            revision: quarantine.revision,
            parts: BTreeMap::new(),
            requests: BTreeMap::new(),
        };
        for quarantined in quarantine.subjects.into_values() {
            let verdict = Verdict {
                since_unix_ms: quarantined.since_unix_ms,
                evidence: quarantined.evidence,
            };
            match quarantined.subject {
                Subject::Part(part) => {
                    stored.parts.insert(part, StoredPart { part, verdict });
                }
                Subject::Request(request) => {
                    stored.requests.insert(request, verdict);
                }
            }
        }
        stored
    }
}
