//! `mgw audit`.

use mgw_contract::operator::{AUDIT_PATH, AuditRecord};

use crate::client::Client;
use crate::output::{Table, print_json};
use crate::{CliError, ExitStatus};

/// Longest detail in the text form, in characters.
const DETAIL_CHARS: usize = 96;

/// Which records are listed.
#[derive(Debug, Clone, Copy)]
pub struct Filter<'a> {
    pub by: Option<&'a str>,
    pub action: Option<&'a str>,
    pub refused: bool,
    pub last: usize,
}

impl Filter<'_> {
    fn keeps(&self, record: &AuditRecord) -> bool {
        self.by.is_none_or(|by| record.operator.as_str() == by)
            && self.action.is_none_or(|action| record.action == action)
            && !(self.refused && record.accepted)
    }
}

/// Lists the audit trail.
pub async fn list_audit(
    client: &Client,
    filter: Filter<'_>,
    json: bool,
) -> Result<ExitStatus, CliError> {
    let mut records: Vec<AuditRecord> = client.get(AUDIT_PATH).await?;
    records.retain(|record| filter.keeps(record));
    let surplus = records.len().saturating_sub(filter.last);
    records.drain(..surplus);
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
            .map_or_else(|| "refused".to_owned(), |made| made.to_string());
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
            shorten(record.detail.lines().next().unwrap_or_default()),
        ]);
    }
    table.print();
    Ok(ExitStatus::Success)
}

/// Cuts a long detail; `--json` prints the whole of it.
fn shorten(detail: &str) -> String {
    if detail.chars().count() <= DETAIL_CHARS {
        return detail.to_owned();
    }
    detail
        .chars()
        .take(DETAIL_CHARS)
        .chain("...".chars())
        .collect()
}
