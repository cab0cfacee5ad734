//! The parts of prompts that are kept from targets.

use std::collections::BTreeMap;

use mgw_contract::operator::QuarantinedPart;
use mgw_world::PromptPart;
use serde::{Deserialize, Serialize};

/// Most parts in quarantine; beyond it the oldest is taken out.
const MAX_PARTS: usize = 1_000;

/// The parts in quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    revision: u64,
    parts: BTreeMap<PromptPart, QuarantinedPart>,
}

impl Quarantine {
    /// Number of changes so far.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The parts in quarantine, ordered by digest.
    pub fn parts(&self) -> impl Iterator<Item = &QuarantinedPart> {
        self.parts.values()
    }

    /// Adds a part. Returns whether that is new.
    pub(crate) fn add(&mut self, part: QuarantinedPart) -> bool {
        if self.parts.contains_key(&part.part) {
            return false;
        }
        self.parts.insert(part.part, part);
        self.revision += 1;
        self.limit();
        true
    }

    /// Removes a part. Returns whether it was in quarantine.
    pub(crate) fn lift(&mut self, part: PromptPart) -> bool {
        let was_in = self.parts.remove(&part).is_some();
        self.revision += u64::from(was_in);
        was_in
    }

    fn limit(&mut self) {
        if self.parts.len() <= MAX_PARTS {
            return;
        }
        let oldest = self.parts.values().min_by_key(|it| it.since_unix_ms);
        if let Some(oldest) = oldest.map(|it| it.part) {
            self.parts.remove(&oldest);
        }
    }
}
