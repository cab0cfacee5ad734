//! `mgw config apply`.

use std::path::Path;

use mgw_contract::operator::{ApplyReply, ApplyRequest, CONFIG_PATH, ENTRIES_PATH, EntryStatus};
use mgw_world::{Clock, Millis, Revision};
use tokio::time::sleep;

use super::config_check::read_config;
use crate::client::Client;
use crate::output::{print_json, print_line};
use crate::{CliError, ExitStatus};

/// Interval at which the entries' revisions are queried.
const POLL_INTERVAL_MS: Millis = Millis(100);

/// A configuration change to apply.
#[derive(Debug, Clone, Copy)]
pub struct Change<'a> {
    /// File with the complete new configuration.
    pub file: &'a Path,
    /// Revision that the change is based on.
    pub base: Revision,
    /// Id of the change; a random one is used if there is none.
    pub change_id: Option<&'a str>,
}

/// Sends a change. With `wait_s`, then waits until all live entries use it, for at most that many
/// seconds.
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
                Some(timeout_s) => wait_for_entries(client, revision, timeout_s, json).await,
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
                    "not accepted: change {winner_change_id} by {winner} was accepted first; base \
                     the change on revision {current}"
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
    timeout_s: u64,
    json: bool,
) -> Result<ExitStatus, CliError> {
    let clock = Clock::monotonic();
    let timeout_ms = Millis(timeout_s).times(1000);
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
        if clock.now() >= timeout_ms {
            for entry in lagging {
                print_line(&format!(
                    "entry {} still uses revision {}",
                    entry.name, entry.revision
                ));
            }
            return Ok(ExitStatus::Lagging);
        }
        sleep(POLL_INTERVAL_MS.to_duration()).await;
    }
}
