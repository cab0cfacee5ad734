//! The newest accepted configuration and what is remembered of the changes that led to it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use mgw_contract::operator::{ApplyReply, ConfigFinding};
use mgw_world::{OperatorName, Revision};
use serde::{Deserialize, Serialize};

use super::{ConfigChange, ConfigDiff, ConfigPatch, ConfigUpdate, Digest};
use crate::{Inventory, StateError};

/// Who made a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Origin {
    revision: Revision,
    change_id: String,
    operator: OperatorName,
}

/// The answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Remembered {
    digest: Digest,
    reply: ApplyReply,
}

/// What came of a change within the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ChangeResult {
    /// It was accepted and led to this difference.
    Accepted(ApplyReply, Box<ConfigDiff>, Arc<Inventory>),
    /// It was refused.
    Refused(ApplyReply),
    /// It had been answered before.
    Resend(ApplyReply),
}

/// The newest accepted configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    revision: Revision,
    digest: Digest,
    text: String,
    inventory: Arc<Inventory>,
    diffs: VecDeque<ConfigDiff>,
    origins: VecDeque<Origin>,
    remembered: BTreeMap<String, Remembered>,
    remembered_order: VecDeque<String>,
}

impl Configuration {
    /// Its revision; zero when none was accepted yet.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Its digest.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Its text, as the operator wrote it.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The configuration itself.
    #[must_use]
    pub const fn inventory(&self) -> &Arc<Inventory> {
        &self.inventory
    }

    /// What an entry needs that holds `held`: differences as far as they are kept, else all.
    #[must_use]
    pub fn update_since(&self, held: Revision) -> ConfigUpdate {
        if held == self.revision {
            return ConfigUpdate::Current { revision: held };
        }
        let first = self.diffs.iter().position(|diff| diff.base == held);
        match first {
            Some(first) if held > Revision(0) => {
                ConfigUpdate::Diffs(self.diffs.iter().skip(first).cloned().collect())
            }
            _ => self.full_update(),
        }
    }

    /// The whole configuration, for an entry that can't use differences.
    #[must_use]
    pub fn full_update(&self) -> ConfigUpdate {
        ConfigUpdate::Full {
            revision: self.revision,
            digest: self.digest,
            inventory: Arc::clone(&self.inventory),
        }
    }

    /// A change as its difference from the newest revision; none when it isn't based on that or
    /// has faults.
    #[must_use]
    pub fn patch(&self, change: &ConfigChange) -> Option<ConfigPatch> {
        if change.base != self.revision {
            return None;
        }
        ConfigPatch::between(self.revision, &self.text, &self.inventory, change)
    }

    /// Accepts a change on the newest revision; answers a resend as before; refuses the rest.
    pub(crate) fn apply(&mut self, change: ConfigChange) -> ChangeResult {
        let digest = change.digest();
        if let Some(refused) = self.refuse(&change.change_id, digest, change.base) {
            return refused;
        }
        match change.checked {
            Ok(inventory) => {
                let accepted = (inventory, change.text);
                self.accept_and_remember(accepted, change.change_id, change.operator, digest)
            }
            Err(findings) => ChangeResult::Refused(ApplyReply::Invalid { findings }),
        }
    }

    /// As [`Self::apply`], for a change that came as a difference.
    pub(crate) fn apply_patch(&mut self, patch: ConfigPatch) -> ChangeResult {
        if let Some(refused) = self.refuse(&patch.change_id, patch.digest, patch.diff.base) {
            return refused;
        }
        let inventory = patch.diff.apply_to(&self.inventory);
        let text = patch.text.apply_to(&self.text);
        match inventory.and_then(|inventory| Ok((inventory, text?))) {
            Ok(accepted) => {
                let digest = patch.digest;
                self.accept_and_remember(accepted, patch.change_id, patch.operator, digest)
            }
            Err(error) => ChangeResult::Refused(misfit(&error)),
        }
    }

    /// The answer to a resend, a reused change id or a change on another base; none for a new
    /// change on the newest revision.
    fn refuse(&mut self, change_id: &str, digest: Digest, base: Revision) -> Option<ChangeResult> {
        if let Some(known) = self.remembered.get(change_id) {
            return Some(if known.digest == digest {
                ChangeResult::Resend(known.reply.clone())
            } else {
                ChangeResult::Refused(reused_change_id(change_id))
            });
        }
        if base == self.revision {
            return None;
        }
        let reply = self.conflict(base);
        self.remember(change_id.to_owned(), digest, reply.clone());
        Some(ChangeResult::Refused(reply))
    }

    fn accept_and_remember(
        &mut self,
        (inventory, text): (Inventory, String),
        change_id: String,
        operator: OperatorName,
        digest: Digest,
    ) -> ChangeResult {
        let old = Arc::clone(&self.inventory);
        let diff = self.accept(&Arc::new(inventory), text);
        self.note_origin(change_id.clone(), operator);
        let reply = ApplyReply::Accepted {
            revision: self.revision,
        };
        self.remember(change_id, digest, reply.clone());
        ChangeResult::Accepted(reply, Box::new(diff), old)
    }

    fn accept(&mut self, inventory: &Arc<Inventory>, text: String) -> ConfigDiff {
        let next = self.revision.next();
        let diff = ConfigDiff::between(self.revision, &self.inventory, next, inventory);
        self.revision = next;
        self.digest = diff.digest;
        self.text = text;
        self.inventory = Arc::clone(inventory);
        self.diffs.push_back(diff.clone());
        keep_last(&mut self.diffs, self.inventory.rules.kept_diffs);
        diff
    }

    fn note_origin(&mut self, change_id: String, operator: OperatorName) {
        self.origins.push_back(Origin {
            revision: self.revision,
            change_id,
            operator,
        });
        keep_last(&mut self.origins, self.inventory.rules.remembered_changes);
    }

    fn remember(&mut self, change_id: String, digest: Digest, reply: ApplyReply) {
        self.remembered_order.push_back(change_id.clone());
        self.remembered
            .insert(change_id, Remembered { digest, reply });
        let limit = to_count(self.inventory.rules.remembered_changes);
        while self.remembered_order.len() > limit {
            if let Some(oldest) = self.remembered_order.pop_front() {
                self.remembered.remove(&oldest);
            }
        }
    }

    /// Names the change that was accepted on `base`, or the newest one when that isn't known.
    fn conflict(&self, base: Revision) -> ApplyReply {
        let won = self.origins.iter().find(|one| one.revision == base.next());
        let winner = won.or_else(|| self.origins.back());
        ApplyReply::Conflict {
            current: self.revision,
            winner_change_id: winner.map_or_else(String::new, |one| one.change_id.clone()),
            winner: winner.map_or_else(OperatorName::default, |one| one.operator.clone()),
        }
    }
}

fn reused_change_id(change_id: &str) -> ApplyReply {
    let message =
        format!("`{change_id}` already names a change with another base or text; use a new id");
    ApplyReply::Invalid {
        findings: vec![ConfigFinding {
            line: 0,
            key: "change_id".to_owned(),
            message,
        }],
    }
}

fn misfit(error: &StateError) -> ApplyReply {
    ApplyReply::Invalid {
        findings: vec![ConfigFinding {
            line: 0,
            key: String::new(),
            message: format!("the change didn't fit the revision it names: {error}"),
        }],
    }
}

fn keep_last<T>(queue: &mut VecDeque<T>, count: u32) {
    while queue.len() > to_count(count) {
        queue.pop_front();
    }
}

fn to_count(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
