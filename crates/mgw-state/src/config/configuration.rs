//! [`Configuration`]: the newest accepted configuration and the recent history of changes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use mgw_contract::operator::{ApplyReply, ConfigFinding};
use mgw_world::{OperatorName, Revision};
use serde::{Deserialize, Serialize};

use super::{ConfigChange, ConfigDiff, ConfigPatch, ConfigUpdate, Digest};
use crate::{Inventory, StateError};

/// The change that led to a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RevisionOrigin {
    revision: Revision,
    change_id: String,
    operator: OperatorName,
}

/// The reply to a change, kept to answer resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RememberedReply {
    digest: Digest,
    reply: ApplyReply,
}

/// The result of applying a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ChangeResult {
    /// The change was accepted; carries the reply, the difference that it made, and the previous
    /// configuration.
    Accepted(ApplyReply, Box<ConfigDiff>, Arc<Inventory>),
    /// The change was refused with this reply.
    Refused(ApplyReply),
    /// The change is a resend; carries the reply to the first send.
    Resend(ApplyReply),
}

/// The newest accepted configuration, with differences from earlier revisions and replies to
/// earlier changes as far as the rules keep them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    revision: Revision,
    digest: Digest,
    text: String,
    inventory: Arc<Inventory>,
    diffs: VecDeque<ConfigDiff>,
    origins: VecDeque<RevisionOrigin>,
    remembered: BTreeMap<String, RememberedReply>,
    remembered_order: VecDeque<String>,
}

impl Configuration {
    /// Revision of the configuration; zero when none was accepted yet.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Digest of the configuration.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Text of the configuration, as the operator wrote it.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The parsed configuration.
    #[must_use]
    pub const fn inventory(&self) -> &Arc<Inventory> {
        &self.inventory
    }

    /// Returns the update for an entry that holds `held_revision`: the differences if all of them
    /// are still kept, else the whole configuration.
    #[must_use]
    pub fn update_since(&self, held_revision: Revision) -> ConfigUpdate {
        if held_revision == self.revision {
            return ConfigUpdate::Current {
                revision: held_revision,
            };
        }
        let first = self
            .diffs
            .iter()
            .position(|diff| diff.base == held_revision);
        match first {
            Some(first) if held_revision > Revision(0) => {
                ConfigUpdate::Diffs(self.diffs.iter().skip(first).cloned().collect())
            }
            _ => self.full_update(),
        }
    }

    /// Returns the whole configuration, for an entry that can't apply differences.
    #[must_use]
    pub fn full_update(&self) -> ConfigUpdate {
        ConfigUpdate::Full {
            revision: self.revision,
            digest: self.digest,
            inventory: Arc::clone(&self.inventory),
        }
    }

    /// Computes the patch for a change; none when the change isn't based on the newest revision or
    /// failed its check.
    #[must_use]
    pub fn patch(&self, change: &ConfigChange) -> Option<ConfigPatch> {
        if change.base != self.revision {
            return None;
        }
        ConfigPatch::between(self.revision, &self.text, &self.inventory, change)
    }

    /// Accepts a valid change based on the newest revision, answers a resend with the first reply,
    /// and refuses every other change.
    pub(crate) fn apply(&mut self, change: ConfigChange) -> ChangeResult {
        let digest = change.digest();
        if let Some(result) = self.check_resend_or_conflict(&change.change_id, digest, change.base)
        {
            return result;
        }
        match change.checked {
            Ok(inventory) => {
                let accepted = (inventory, change.text);
                self.accept_and_remember(accepted, change.change_id, change.operator, digest)
            }
            Err(findings) => ChangeResult::Refused(ApplyReply::Invalid { findings }),
        }
    }

    /// Does the same as [`Self::apply`] for a change that was proposed as a patch.
    pub(crate) fn apply_patch(&mut self, patch: ConfigPatch) -> ChangeResult {
        if let Some(result) =
            self.check_resend_or_conflict(&patch.change_id, patch.digest, patch.diff.base)
        {
            return result;
        }
        let inventory = patch.diff.apply_to(&self.inventory);
        let text = patch.text.apply_to(&self.text);
        match inventory.and_then(|inventory| Ok((inventory, text?))) {
            Ok(accepted) => {
                let digest = patch.digest;
                self.accept_and_remember(accepted, patch.change_id, patch.operator, digest)
            }
            Err(error) => ChangeResult::Refused(invalid_patch_reply(&error)),
        }
    }

    /// Returns the result for a resend, a reused change id or a change based on another revision
    /// than the newest; none for a new change based on the newest.
    fn check_resend_or_conflict(
        &mut self,
        change_id: &str,
        digest: Digest,
        base: Revision,
    ) -> Option<ChangeResult> {
        if let Some(first) = self.remembered.get(change_id) {
            return Some(if first.digest == digest {
                ChangeResult::Resend(first.reply.clone())
            } else {
                ChangeResult::Refused(reused_change_id_reply(change_id))
            });
        }
        if base == self.revision {
            return None;
        }
        let reply = self.conflict_reply(base);
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
        self.record_origin(change_id.clone(), operator);
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
        truncate_to_newest(&mut self.diffs, self.inventory.rules.kept_diffs);
        diff
    }

    fn record_origin(&mut self, change_id: String, operator: OperatorName) {
        self.origins.push_back(RevisionOrigin {
            revision: self.revision,
            change_id,
            operator,
        });
        truncate_to_newest(&mut self.origins, self.inventory.rules.remembered_changes);
    }

    fn remember(&mut self, change_id: String, digest: Digest, reply: ApplyReply) {
        self.remembered_order.push_back(change_id.clone());
        self.remembered
            .insert(change_id, RememberedReply { digest, reply });
        let limit = to_usize(self.inventory.rules.remembered_changes);
        while self.remembered_order.len() > limit {
            if let Some(oldest) = self.remembered_order.pop_front() {
                self.remembered.remove(&oldest);
            }
        }
    }

    /// The conflict reply; it names the change that was accepted on `base`, or the newest change if
    /// that one isn't known.
    fn conflict_reply(&self, base: Revision) -> ApplyReply {
        let accepted_on_base = self
            .origins
            .iter()
            .find(|origin| origin.revision == base.next());
        let winner = accepted_on_base.or_else(|| self.origins.back());
        ApplyReply::Conflict {
            current: self.revision,
            winner_change_id: winner.map_or_else(String::new, |origin| origin.change_id.clone()),
            winner: winner.map_or_else(OperatorName::default, |origin| origin.operator.clone()),
        }
    }
}

fn reused_change_id_reply(change_id: &str) -> ApplyReply {
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

fn invalid_patch_reply(error: &StateError) -> ApplyReply {
    ApplyReply::Invalid {
        findings: vec![ConfigFinding {
            line: 0,
            key: String::new(),
            message: format!("the change didn't fit the revision it names: {error}"),
        }],
    }
}

/// Drops the oldest items until at most `count` are left.
fn truncate_to_newest<T>(queue: &mut VecDeque<T>, count: u32) {
    while queue.len() > to_usize(count) {
        queue.pop_front();
    }
}

fn to_usize(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
