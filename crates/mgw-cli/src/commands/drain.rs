//! `mgw entry drain` and `mgw target drain`.

use mgw_contract::operator::{DRAIN_PATH, DrainRequest};
use mgw_world::{EntryName, TargetName};

use crate::client::Client;
use crate::output::print_line;
use crate::{CliError, ExitStatus};

/// Lets an entry leave.
pub async fn drain_entry(client: &Client, name: &EntryName) -> Result<ExitStatus, CliError> {
    send_drain(client, &DrainRequest::Entry(name.clone()), name.as_str()).await
}

/// Lets a target leave.
pub async fn drain_target(client: &Client, name: &TargetName) -> Result<ExitStatus, CliError> {
    send_drain(client, &DrainRequest::Target(name.clone()), name.as_str()).await
}

async fn send_drain(
    client: &Client,
    request: &DrainRequest,
    name: &str,
) -> Result<ExitStatus, CliError> {
    let _: serde_json::Value = client.post(DRAIN_PATH, request).await?;
    print_line(&format!("{name} is asked to leave"));
    Ok(ExitStatus::Success)
}
