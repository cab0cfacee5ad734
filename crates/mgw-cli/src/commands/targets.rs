//! `mgw targets`.

use mgw_contract::operator::{TARGETS_PATH, TargetStatus};

use crate::client::Client;
use crate::output::{Table, print_json};
use crate::{CliError, ExitStatus};

/// Lists the targets that the process that answers has in its view.
pub async fn list_targets(client: &Client, json: bool) -> Result<ExitStatus, CliError> {
    let targets: Vec<TargetStatus> = client.get(TARGETS_PATH).await?;
    if json {
        print_json(&targets);
        return Ok(ExitStatus::Success);
    }
    let mut table = Table::new(&[
        "TARGET",
        "PLACE",
        "DUTY",
        "STATE",
        "IN-CHOICE",
        "IN-FLIGHT",
        "AGE",
    ]);
    for target in targets {
        table.push(vec![
            target.name.to_string(),
            target.place.to_string(),
            target.duty,
            target.readiness.to_string(),
            if target.in_choice { "yes" } else { "no" }.to_owned(),
            target.in_flight.to_string(),
            target.age_ms.to_string(),
        ]);
    }
    table.print();
    Ok(ExitStatus::Success)
}
