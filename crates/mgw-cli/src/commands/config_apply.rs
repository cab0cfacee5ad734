//! `mgw config apply`.

use std::path::Path;

use mgw_contract::operator::{ApplyReply, ApplyRequest, CONFIG_PATH, ENTRIES_PATH, EntryStatus};
use mgw_world::{Clock, Millis, Revision};
use tokio::time::sleep;

use super::config_check::read_config;
use crate::client::Client;
use crate::output::{print_json, print_line};
use crate::{CliError, ExitStatus};

/// Pause between two looks at the entries.
const POLL_PAUSE_MS: Millis = Millis(100);

/// A change to apply.
#[derive(Debug, Clone, Copy)]
pub struct Change<'a> {
    pub file: &'a Path,
    pub base: Revision,
    pub change_id: Option<&'a str>,
}

/// Sends a change and, if asked, waits until all live entries have it.
pub async fn apply_config(
    client: &Client,
    change: Change<'_>,
    wait_s: Option<u64>,
    json: bool,
) -> Result<ExitStatus, CliError> {
    let text = read_config(change.file)?;
    let change_id = change.change_id.map_or_else(
        || format!("{:032x}", rand::random::<u128>()),
        ToOwned::to_owned,
    );
    let request = ApplyRequest {
        base: change.base,
        change_id,
        text,
    };
    let reply: ApplyReply = client.post(CONFIG_PATH, &request).await?;
    if json {
        print_json(&reply);
    }
    match reply {
        ApplyReply::Accepted { revision } => {
            if !json {
                print_line(&format!("accepted as revision {revision}"));
            }
            match wait_s {
                Some(limit_s) => wait_for_entries(client, revision, limit_s, json).await,
                None => Ok(ExitStatus::Success),
            }
        }
        ApplyReply::Conflict {
            current,
            winner_change_id,
            winner,
        } => {
            if !json {
                print_line(&format!(
                    "not accepted: revision {current} by {winner} (change {winner_change_id}) came \
                     first; base the change on it"
                ));
            }
            Ok(ExitStatus::Conflict)
        }
        ApplyReply::Invalid { findings } => {
            if !json {
                for finding in findings {
                    print_line(&format!("{}:{finding}", change.file.display()));
                }
            }
            Ok(ExitStatus::Invalid)
        }
    }
}

async fn wait_for_entries(
    client: &Client,
    revision: Revision,
    limit_s: u64,
    json: bool,
) -> Result<ExitStatus, CliError> {
    let clock = Clock::monotonic();
    let limit_ms = Millis(limit_s).times(1000);
    loop {
        let entries: Vec<EntryStatus> = client.get(ENTRIES_PATH).await?;
        let lagging: Vec<&EntryStatus> = entries
            .iter()
            .filter(|entry| entry.revision < revision)
            .collect();
        if lagging.is_empty() {
            if !json {
                print_line(&format!("in force at all {} entries", entries.len()));
            }
            return Ok(ExitStatus::Success);
        }
        if clock.now() >= limit_ms {
            for entry in lagging {
                print_line(&format!(
                    "{} has revision {} only",
                    entry.name, entry.revision
                ));
            }
            return Ok(ExitStatus::Lagging);
        }
        sleep(POLL_PAUSE_MS.to_duration()).await;
    }
}
