//! `mgw config show`.

use mgw_contract::operator::{CONFIG_PATH, ConfigReply};

use crate::client::Client;
use crate::output::{print_json, print_line};
use crate::{CliError, ExitStatus};

/// Prints the accepted configuration after a comment line with its revision.
pub async fn show_config(client: &Client, json: bool) -> Result<ExitStatus, CliError> {
    let config: ConfigReply = client.get(CONFIG_PATH).await?;
    if json {
        print_json(&config);
    } else {
        print_line(&format!("# revision {}", config.revision));
        print_line(config.text.trim_end());
    }
    Ok(ExitStatus::Success)
}
