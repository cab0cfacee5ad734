//! `mgw entry drain`, `mgw entry undrain`, `mgw target drain` and `mgw target undrain`.

use mgw_contract::operator::{DRAIN_PATH, DrainRequest, UNDRAIN_PATH};

use crate::client::Client;
use crate::output::print_line;
use crate::{CliError, ExitStatus};

/// Asks an entry or a target to leave.
pub async fn drain(client: &Client, subject: &DrainRequest) -> Result<ExitStatus, CliError> {
    let _: serde_json::Value = client.post(DRAIN_PATH, subject).await?;
    print_line(&format!("{} is asked to leave", subject.name()));
    Ok(ExitStatus::Success)
}

/// Cancels a drain. An entry or a target that has left already must be started again.
pub async fn undrain(client: &Client, subject: &DrainRequest) -> Result<ExitStatus, CliError> {
    let _: serde_json::Value = client.post(UNDRAIN_PATH, subject).await?;
    print_line(&format!("the drain of {} is cancelled", subject.name()));
    Ok(ExitStatus::Success)
}
