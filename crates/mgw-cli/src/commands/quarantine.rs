//! `mgw quarantine list` and `mgw quarantine lift`.

use mgw_contract::operator::{LiftRequest, QUARANTINE_PATH, QuarantinedSubject};
use mgw_world::Subject;

use crate::client::Client;
use crate::output::{Table, print_json, print_line};
use crate::{CliError, ExitStatus};

/// Lists the parts of prompts and the requests in quarantine.
pub async fn list_subjects(client: &Client, json: bool) -> Result<ExitStatus, CliError> {
    let quarantined: Vec<QuarantinedSubject> = client.get(QUARANTINE_PATH).await?;
    if json {
        print_json(&quarantined);
        return Ok(ExitStatus::Success);
    }
    let mut table = Table::new(&["SUBJECT", "SINCE-MS", "EVIDENCE"]);
    for it in quarantined {
        table.push(vec![
            it.subject.to_string(),
            it.since_unix_ms.to_string(),
            it.evidence,
        ]);
    }
    table.print();
    Ok(ExitStatus::Success)
}

/// Takes a part or a request out of the quarantine.
pub async fn lift(client: &Client, subject: Subject) -> Result<ExitStatus, CliError> {
    let request = LiftRequest { subject };
    let _: serde_json::Value = client.post(QUARANTINE_PATH, &request).await?;
    print_line(&format!("{subject} may reach targets again"));
    Ok(ExitStatus::Success)
}
