//! `mgw entries`.

use mgw_contract::operator::{ENTRIES_PATH, EntryStatus};

use crate::client::Client;
use crate::output::{Table, print_json};
use crate::{CliError, ExitStatus};

/// Lists the entries that the process that answers has in its view.
pub async fn list_entries(client: &Client, json: bool) -> Result<ExitStatus, CliError> {
    let entries: Vec<EntryStatus> = client.get(ENTRIES_PATH).await?;
    if json {
        print_json(&entries);
        return Ok(ExitStatus::Success);
    }
    let mut table = Table::new(&[
        "ENTRY",
        "PLACE",
        "URL",
        "REVISION",
        "STATE",
        "IN-FLIGHT",
        "SILENT",
    ]);
    for entry in entries {
        table.push(vec![
            entry.name.to_string(),
            entry.place.to_string(),
            entry.url,
            entry.revision.to_string(),
            if entry.leaving { "leaving" } else { "serving" }.to_owned(),
            entry
                .in_flight
                .map_or_else(|| "-".to_owned(), |count| count.to_string()),
            entry.silent_ms.to_string(),
        ]);
    }
    table.print();
    Ok(ExitStatus::Success)
}
