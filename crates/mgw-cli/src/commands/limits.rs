//! `mgw limits`.

use mgw_contract::operator::{LIMITS_PATH, LimitsReply};

use crate::client::Client;
use crate::output::{Table, print_json, print_line};
use crate::{CliError, ExitStatus};

/// Lists the rate limits of targets as the control that answers knows them.
pub async fn list_limits(client: &Client, json: bool) -> Result<ExitStatus, CliError> {
    let reply: LimitsReply = client.get(LIMITS_PATH).await?;
    if json {
        print_json(&reply);
        return Ok(ExitStatus::Success);
    }
    let mut table = Table::new(&["TARGET", "INCARNATION", "REQUESTS-PER-S", "AGE-MS", "HELD"]);
    for limit in reply.limits {
        table.push(vec![
            limit.target.to_string(),
            limit.incarnation.to_string(),
            limit.requests_per_s.to_string(),
            limit.age_ms.0.to_string(),
            limit.tokens_held.to_string(),
        ]);
    }
    table.print();
    if reply.reporting_entries == 0 {
        print_line(&format!(
            "no entry reports to {}; ask the live control with the lowest address",
            reply.node
        ));
    }
    Ok(ExitStatus::Success)
}
