//! `mgw audit`.

use mgw_contract::operator::{AUDIT_PATH, AuditRecord};

use crate::client::Client;
use crate::output::{Table, print_json};
use crate::{CliError, ExitStatus};

/// Maximum length of a detail in the text output, in characters.
const MAX_DETAIL_CHARS: usize = 96;

/// Selects the records that are listed.
#[derive(Debug, Clone, Copy)]
pub struct Filter<'a> {
    /// Only records of this operator.
    pub by: Option<&'a str>,
    /// Only records with this action.
    pub action: Option<&'a str>,
    /// Only records of refused requests.
    pub refused: bool,
    /// Maximum number of records; the newest ones are listed.
    pub last: usize,
}

impl Filter<'_> {
    fn matches(&self, record: &AuditRecord) -> bool {
        self.by.is_none_or(|by| record.operator.as_str() == by)
            && self.action.is_none_or(|action| record.action == action)
            && !(self.refused && record.accepted)
    }
}

/// Lists the records of the audit trail that the filter selects.
pub async fn list_audit(
    client: &Client,
    filter: Filter<'_>,
    json: bool,
) -> Result<ExitStatus, CliError> {
    let mut records: Vec<AuditRecord> = client.get(AUDIT_PATH).await?;
    records.retain(|record| filter.matches(record));
    let excess = records.len().saturating_sub(filter.last);
    records.drain(..excess);
    if json {
        print_json(&records);
        return Ok(ExitStatus::Success);
    }
    let mut table = Table::new(&[
        "NUMBER", "UNIX-MS", "OPERATOR", "ACTION", "SUBJECT", "BASE", "REVISION", "DETAIL",
    ]);
    for record in records {
        let revision = record
            .revision
            .map_or_else(|| "refused".to_owned(), |revision| revision.to_string());
        table.push(vec![
            record.number.to_string(),
            record.at_unix_ms.to_string(),
            record.operator.to_string(),
            record.action,
            record.subject,
            record
                .base
                .map_or_else(|| "-".to_owned(), |base| base.to_string()),
            if record.accepted && record.revision.is_none() {
                "-".to_owned()
            } else {
                revision
            },
            truncate_detail(record.detail.lines().next().unwrap_or_default()),
        ]);
    }
    table.print();
    Ok(ExitStatus::Success)
}

/// Truncates a long detail; `--json` prints details in full.
fn truncate_detail(detail: &str) -> String {
    if detail.chars().count() <= MAX_DETAIL_CHARS {
        return detail.to_owned();
    }
    detail
        .chars()
        .take(MAX_DETAIL_CHARS)
        .chain("...".chars())
        .collect()
}
