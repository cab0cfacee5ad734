//! The audit trail: each accepted and each refused change.

use std::collections::VecDeque;

use mgw_contract::operator::AuditRecord;
use mgw_world::{OperatorName, Revision, UnixMillis};
use serde::{Deserialize, Serialize};

const MAX_DETAIL_BYTES: usize = 8 * 1024;
const MAX_SUBJECT_BYTES: usize = 256;

/// Which records to read; an absent field admits all.
///
/// ```
/// use mgw_state::AuditFilter;
/// let refused = AuditFilter { accepted: Some(false), ..AuditFilter::default() };
/// assert!(refused.limit.is_none());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AuditFilter {
    /// Made by this operator.
    pub operator: Option<OperatorName>,
    /// With this action.
    pub action: Option<String>,
    /// About this change id, key or name.
    pub subject: Option<String>,
    /// Accepted or refused.
    pub accepted: Option<bool>,
    /// Not before this time.
    pub since_unix_ms: Option<UnixMillis>,
    /// Not after this time.
    pub until_unix_ms: Option<UnixMillis>,
    /// That led to this revision.
    pub revision: Option<Revision>,
    /// With a higher number than this.
    pub after_number: Option<u64>,
    /// At most so many, the newest.
    pub limit: Option<u32>,
}

impl AuditFilter {
    /// Whether the filter admits a record, leaving `limit` aside.
    #[must_use]
    pub fn matches(&self, record: &AuditRecord) -> bool {
        fn fits<T: PartialEq>(wanted: Option<&T>, given: &T) -> bool {
            wanted.is_none_or(|wanted| wanted == given)
        }
        fits(self.operator.as_ref(), &record.operator)
            && fits(self.action.as_ref(), &record.action)
            && fits(self.subject.as_ref(), &record.subject)
            && fits(self.accepted.as_ref(), &record.accepted)
            && self.revision.is_none_or(|one| record.revision == Some(one))
            && self
                .since_unix_ms
                .is_none_or(|one| record.at_unix_ms >= one)
            && self
                .until_unix_ms
                .is_none_or(|one| record.at_unix_ms <= one)
            && self.after_number.is_none_or(|one| record.number > one)
    }
}

/// The newest records, and the count of all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditTrail {
    records: VecDeque<AuditRecord>,
    total: u64,
}

impl AuditTrail {
    /// Number of records ever made, those past retention included.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// Records held, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &AuditRecord> {
        self.records.iter()
    }

    /// Records that the filter admits, oldest first.
    #[must_use]
    pub fn select(&self, filter: &AuditFilter) -> Vec<AuditRecord> {
        let limit = filter.limit.unwrap_or(u32::MAX);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let newest = self.records.iter().rev();
        let admitted = newest.filter(|record| filter.matches(record)).take(limit);
        let mut records: Vec<_> = admitted.cloned().collect();
        records.reverse();
        records
    }

    /// Numbers and adds a record; the oldest go when more than `kept` are held.
    pub(crate) fn add(&mut self, mut record: AuditRecord, kept: u32) {
        self.total += 1;
        record.number = self.total;
        shorten(&mut record.detail, MAX_DETAIL_BYTES);
        shorten(&mut record.subject, MAX_SUBJECT_BYTES);
        self.records.push_back(record);
        let kept = usize::try_from(kept).unwrap_or(usize::MAX);
        while self.records.len() > kept {
            self.records.pop_front();
        }
    }
}

fn shorten(text: &mut String, limit: usize) {
    if text.len() <= limit {
        return;
    }
    let mut end = limit;
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text.push('…');
}
