//! `mgw entry drain`, `mgw target drain` and their `undrain`.

use mgw_contract::operator::{DRAIN_PATH, DrainRequest, UNDRAIN_PATH};

use crate::client::Client;
use crate::output::print_line;
use crate::{CliError, ExitStatus};

/// Lets an entry or a target leave.
pub async fn drain(client: &Client, subject: &DrainRequest) -> Result<ExitStatus, CliError> {
    let _: serde_json::Value = client.post(DRAIN_PATH, subject).await?;
    print_line(&format!("{} is asked to leave", subject.name()));
    Ok(ExitStatus::Success)
}

/// Takes a drain back; what has left already has to be started again.
pub async fn undrain(client: &Client, subject: &DrainRequest) -> Result<ExitStatus, CliError> {
    let _: serde_json::Value = client.post(UNDRAIN_PATH, subject).await?;
    print_line(&format!("{} may stay or come back", subject.name()));
    Ok(ExitStatus::Success)
}
