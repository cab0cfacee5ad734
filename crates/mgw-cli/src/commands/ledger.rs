//! `mgw ledger show` and `mgw ledger resolve`.

use mgw_contract::operator::{LEDGER_PATH, LedgerRecord, LedgerState, ResolveRequest};

use crate::client::Client;
use crate::output::{Table, print_json, print_line};
use crate::{CliError, ExitStatus};

/// Lists the claims of the ledger.
pub async fn list_claims(
    client: &Client,
    only_unknown: bool,
    json: bool,
) -> Result<ExitStatus, CliError> {
    let mut claims: Vec<LedgerRecord> = client.get(LEDGER_PATH).await?;
    claims.retain(|claim| !only_unknown || claim.state == LedgerState::Unknown);
    if json {
        print_json(&claims);
        return Ok(ExitStatus::Success);
    }
    let mut table = Table::new(&[
        "WORKSPACE",
        "SERVICE",
        "KEY",
        "STATE",
        "ENTRY",
        "CLAIMED-MS",
    ]);
    for claim in claims {
        let state = match claim.state {
            LedgerState::InProgress => "in progress".to_owned(),
            LedgerState::Ended(outcome) => outcome.to_string(),
            LedgerState::Unknown => "unknown".to_owned(),
        };
        table.push(vec![
            claim.workspace.to_string(),
            claim.service.to_string(),
            claim.key.to_string(),
            state,
            claim.entry.to_string(),
            claim.claimed_unix_ms.to_string(),
        ]);
    }
    table.print();
    Ok(ExitStatus::Success)
}

/// Records whether the call of a claim with an unknown outcome ran.
pub async fn resolve_claim(
    client: &Client,
    resolution: &ResolveRequest,
) -> Result<ExitStatus, CliError> {
    let _: serde_json::Value = client.post(LEDGER_PATH, resolution).await?;
    print_line(&format!(
        "recorded: {}",
        if resolution.ran { "done" } else { "not run" }
    ));
    Ok(ExitStatus::Success)
}
