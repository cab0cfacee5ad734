//! A change as it travels in the log when the leader holds the base: only what differs.

use mgw_world::{OperatorName, Revision};
use serde::{Deserialize, Serialize};

use super::{ConfigChange, ConfigDiff, Digest};
use crate::{Inventory, StateError};

/// A new text as the part that differs from the old one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPatch {
    /// Bytes that both texts start with.
    pub head_bytes: usize,
    /// Bytes that both texts end with.
    pub tail_bytes: usize,
    /// What stands between them in the new text.
    pub middle: String,
}

impl TextPatch {
    /// The patch that leads from `old` to `new`.
    #[must_use]
    pub fn between(old: &str, new: &str) -> Self {
        let head_bytes = count_common(old.chars(), new.chars());
        let (old_rest, new_rest) = (&old[head_bytes..], &new[head_bytes..]);
        let tail_bytes = count_common(old_rest.chars().rev(), new_rest.chars().rev());
        Self {
            head_bytes,
            tail_bytes,
            middle: new_rest[..new_rest.len() - tail_bytes].to_owned(),
        }
    }

    /// The new text.
    ///
    /// # Errors
    /// When the old text isn't the one that the patch was made from.
    pub fn apply_to(&self, old: &str) -> Result<String, StateError> {
        let tail_at = old.len().checked_sub(self.tail_bytes);
        let tail_at = tail_at.filter(|at| *at >= self.head_bytes);
        let head = old.get(..self.head_bytes);
        let tail = tail_at.and_then(|at| old.get(at..));
        match (head, tail) {
            (Some(head), Some(tail)) => Ok([head, &self.middle, tail].concat()),
            _ => Err(StateError::WrongDigest),
        }
    }
}

/// Bytes of the characters that both start with.
fn count_common(left: impl Iterator<Item = char>, right: impl Iterator<Item = char>) -> usize {
    let pairs = left.zip(right);
    let same = pairs.take_while(|(left, right)| left == right);
    same.map(|(one, _)| one.len_utf8()).sum()
}

/// A checked change as its difference from the revision that it is based on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPatch {
    /// Operator who asks.
    pub operator: OperatorName,
    /// Names the change, so that a resend is recognised.
    pub change_id: String,
    /// Digest of what the operator sent.
    pub digest: Digest,
    /// The text.
    pub text: TextPatch,
    /// The configuration; names base, revision and digest of the result.
    pub diff: ConfigDiff,
}

impl ConfigPatch {
    /// The difference that a change makes; none for a faulty change.
    pub(super) fn between(
        revision: Revision,
        text: &str,
        inventory: &Inventory,
        change: &ConfigChange,
    ) -> Option<Self> {
        let checked = change.checked.as_ref().ok()?;
        Some(Self {
            operator: change.operator.clone(),
            change_id: change.change_id.clone(),
            digest: change.digest(),
            text: TextPatch::between(text, &change.text),
            diff: ConfigDiff::between(revision, inventory, revision.next(), checked),
        })
    }
}
