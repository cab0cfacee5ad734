//! [`ConfigPatch`], a change of configuration as its difference from the revision that it is based
//! on. The leader proposes it instead of the whole change when it holds that revision.

use mgw_world::{OperatorName, Revision};
use serde::{Deserialize, Serialize};

use super::{ConfigChange, ConfigDiff, Digest};
use crate::{Inventory, StateError};

/// The difference between two texts: the part of the new text that differs from the old one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPatch {
    /// Length of the common start of both texts.
    pub head_bytes: usize,
    /// Length of the common end of both texts, not overlapping the common start.
    pub tail_bytes: usize,
    /// The new text between the common start and end.
    pub middle: String,
}

impl TextPatch {
    /// Computes the patch that turns `old` into `new`.
    #[must_use]
    pub fn between(old: &str, new: &str) -> Self {
        let head_bytes = count_common_bytes(old.chars(), new.chars());
        let (old_rest, new_rest) = (&old[head_bytes..], &new[head_bytes..]);
        let tail_bytes = count_common_bytes(old_rest.chars().rev(), new_rest.chars().rev());
        Self {
            head_bytes,
            tail_bytes,
            middle: new_rest[..new_rest.len() - tail_bytes].to_owned(),
        }
    }

    /// Applies the patch to the old text; returns the new one.
    ///
    /// # Errors
    /// When the lengths of the common start and end don't fit `old`, so that it isn't the text that
    /// the patch was computed from.
    pub fn apply_to(&self, old: &str) -> Result<String, StateError> {
        let tail_start = old.len().checked_sub(self.tail_bytes);
        let tail_start = tail_start.filter(|start| *start >= self.head_bytes);
        let head = old.get(..self.head_bytes);
        let tail = tail_start.and_then(|start| old.get(start..));
        match (head, tail) {
            (Some(head), Some(tail)) => Ok([head, &self.middle, tail].concat()),
            _ => Err(StateError::WrongDigest),
        }
    }
}

/// Length in bytes of the common prefix of two sequences of characters.
fn count_common_bytes(
    left: impl Iterator<Item = char>,
    right: impl Iterator<Item = char>,
) -> usize {
    let pairs = left.zip(right);
    let common = pairs.take_while(|(left, right)| left == right);
    common.map(|(character, _)| character.len_utf8()).sum()
}

/// A change that passed its check, as its difference from the revision that it is based on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPatch {
    /// Operator who asks for the change.
    pub operator: OperatorName,
    /// Identifies the change, so that a resend is recognised.
    pub change_id: String,
    /// Digest of what the operator sent: base and text.
    pub digest: Digest,
    /// The difference of the text.
    pub text: TextPatch,
    /// The difference of the configuration, with its base and the revision and digest of the
    /// result.
    pub diff: ConfigDiff,
}

impl ConfigPatch {
    /// Computes the patch for a change on the given revision; none if the change failed its check.
    pub(super) fn between(
        revision: Revision,
        text: &str,
        inventory: &Inventory,
        change: &ConfigChange,
    ) -> Option<Self> {
        let new_inventory = change.checked.as_ref().ok()?;
        Some(Self {
            operator: change.operator.clone(),
            change_id: change.change_id.clone(),
            digest: change.digest(),
            text: TextPatch::between(text, &change.text),
            diff: ConfigDiff::between(revision, inventory, revision.next(), new_inventory),
        })
    }
}
