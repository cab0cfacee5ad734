//! The audit trail: a record of each change that operators asked for, accepted or refused.

use std::collections::VecDeque;

use mgw_contract::operator::AuditRecord;
use mgw_world::{OperatorName, Revision, UnixMillis};
use serde::{Deserialize, Serialize};

const MAX_DETAIL_BYTES: usize = 8 * 1024;
const MAX_SUBJECT_BYTES: usize = 256;

/// Selects audit records; an absent field matches every record.
///
/// ```
/// use mgw_state::AuditFilter;
/// let refused = AuditFilter { accepted: Some(false), ..AuditFilter::default() };
/// assert!(refused.limit.is_none());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AuditFilter {
    /// Operator that the record names.
    pub operator: Option<OperatorName>,
    /// Action that the record names.
    pub action: Option<String>,
    /// Change id, key or name that the record is about.
    pub subject: Option<String>,
    /// Whether the change was accepted.
    pub accepted: Option<bool>,
    /// Earliest time, inclusive.
    pub since_unix_ms: Option<UnixMillis>,
    /// Latest time, inclusive.
    pub until_unix_ms: Option<UnixMillis>,
    /// Revision that the change led to.
    pub revision: Option<Revision>,
    /// Only records with a higher number than this.
    pub after_number: Option<u64>,
    /// Maximum number of records; the newest are selected.
    pub limit: Option<u32>,
}

impl AuditFilter {
    /// Whether a record matches all fields of the filter except `limit`.
    #[must_use]
    pub fn matches(&self, record: &AuditRecord) -> bool {
        fn equals<T: PartialEq>(expected: Option<&T>, actual: &T) -> bool {
            expected.is_none_or(|expected| expected == actual)
        }
        equals(self.operator.as_ref(), &record.operator)
            && equals(self.action.as_ref(), &record.action)
            && equals(self.subject.as_ref(), &record.subject)
            && equals(self.accepted.as_ref(), &record.accepted)
            && self
                .revision
                .is_none_or(|revision| record.revision == Some(revision))
            && self
                .since_unix_ms
                .is_none_or(|since| record.at_unix_ms >= since)
            && self
                .until_unix_ms
                .is_none_or(|until| record.at_unix_ms <= until)
            && self
                .after_number
                .is_none_or(|number| record.number > number)
    }
}

/// The newest audit records and the number of records ever made.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditTrail {
    records: VecDeque<AuditRecord>,
    total: u64,
}

impl AuditTrail {
    /// Number of records ever made, including those that were dropped.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// The records in the trail, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &AuditRecord> {
        self.records.iter()
    }

    /// The newest records that match the filter, up to its limit, oldest first.
    #[must_use]
    pub fn select(&self, filter: &AuditFilter) -> Vec<AuditRecord> {
        let limit = filter.limit.unwrap_or(u32::MAX);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let newest = self.records.iter().rev();
        let matching = newest.filter(|record| filter.matches(record)).take(limit);
        let mut records: Vec<_> = matching.cloned().collect();
        records.reverse();
        records
    }

    /// Numbers and appends a record; drops the oldest records above `max_records`.
    pub(crate) fn add(&mut self, mut record: AuditRecord, max_records: u32) {
        self.total += 1;
        record.number = self.total;
        truncate_text(&mut record.detail, MAX_DETAIL_BYTES);
        truncate_text(&mut record.subject, MAX_SUBJECT_BYTES);
        self.records.push_back(record);
        let max_records = usize::try_from(max_records).unwrap_or(usize::MAX);
        while self.records.len() > max_records {
            self.records.pop_front();
        }
    }
}

/// Truncates the text to at most `max_bytes` and marks the cut with an ellipsis.
fn truncate_text(text: &mut String, max_bytes: usize) {
    if text.len() <= max_bytes {
        return;
    }
    let mut end = max_bytes;
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text.push('…');
}
