//! `mgw status`.

use mgw_contract::operator::{STATUS_PATH, StatusReply};

use crate::client::Client;
use crate::output::{Table, print_json, print_line};
use crate::{CliError, ExitStatus};

/// Shows the state of the system as the process that answers sees it.
pub async fn show_status(client: &Client, json: bool) -> Result<ExitStatus, CliError> {
    let status: StatusReply = client.get(STATUS_PATH).await?;
    if json {
        print_json(&status);
        return Ok(ExitStatus::Success);
    }
    let leader = status
        .leader
        .as_ref()
        .map_or("none known", |leader| leader.as_str());
    print_line(&format!("seen by     {}", status.node));
    print_line(&format!("revision    {}", status.revision));
    print_line(&format!("leader      {leader}"));
    print_line(&format!(
        "quorum      {}",
        if status.has_quorum { "yes" } else { "no" }
    ));
    print_line(&format!("entries     {}", status.entries));
    print_line(&format!("targets     {}", status.targets));
    print_line(&format!(
        "unknown     {} ledger claims",
        status.ledger_unknown
    ));
    for (model, rates) in &status.models {
        print_line(&format!(
            "model       {model}: {} of {} tokens/s",
            rates.reached_tokens_per_s, rates.bound_tokens_per_s
        ));
    }
    if !status.replicas.is_empty() {
        let mut table = Table::new(&["CONTROL", "ROLE", "VOTES", "MATCHED", "SILENT"]);
        for replica in &status.replicas {
            table.push(vec![
                replica.name.to_string(),
                replica.role.clone(),
                if replica.votes { "yes" } else { "no" }.to_owned(),
                replica.matched.to_string(),
                replica
                    .silent_ms
                    .map_or_else(|| "-".to_owned(), |silent| silent.to_string()),
            ]);
        }
        table.print();
    }
    for condition in &status.attention {
        print_line(&format!("attention   {condition}"));
    }
    Ok(ExitStatus::Success)
}
