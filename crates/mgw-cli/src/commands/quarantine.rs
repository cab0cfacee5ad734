//! `mgw quarantine list` and `mgw quarantine lift`.

use mgw_contract::operator::{LiftRequest, QUARANTINE_PATH, QuarantinedPart};
use mgw_world::PromptPart;

use crate::client::Client;
use crate::output::{Table, print_json, print_line};
use crate::{CliError, ExitStatus};

/// Lists the parts in quarantine.
pub async fn list_parts(client: &Client, json: bool) -> Result<ExitStatus, CliError> {
    let parts: Vec<QuarantinedPart> = client.get(QUARANTINE_PATH).await?;
    if json {
        print_json(&parts);
        return Ok(ExitStatus::Success);
    }
    let mut table = Table::new(&["PART", "SINCE-MS", "EVIDENCE"]);
    for part in parts {
        table.push(vec![
            part.part.to_string(),
            part.since_unix_ms.to_string(),
            part.evidence,
        ]);
    }
    table.print();
    Ok(ExitStatus::Success)
}

/// Takes a part out of the quarantine.
pub async fn lift_part(client: &Client, part: PromptPart) -> Result<ExitStatus, CliError> {
    let request = LiftRequest { part };
    let _: serde_json::Value = client.post(QUARANTINE_PATH, &request).await?;
    print_line(&format!("part {part} may reach targets again"));
    Ok(ExitStatus::Success)
}
