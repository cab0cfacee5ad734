//! `mgw config check`.

use std::path::Path;

use mgw_state::Inventory;

use crate::output::{print_json, print_line};
use crate::{CliError, ExitStatus};

/// Reads the text of a configuration file.
pub fn read_config(file: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(file).map_err(|source| CliError::File {
        path: file.display().to_string(),
        source,
    })
}

/// Checks a configuration file and lists all its faults.
pub fn check_config(file: &Path, json: bool) -> Result<ExitStatus, CliError> {
    let text = read_config(file)?;
    match Inventory::parse(&file.display().to_string(), &text) {
        Ok(_) if json => print_json(&Vec::<String>::new()),
        Ok(_) => print_line("no faults found"),
        Err(findings) if json => {
            let lines: Vec<String> = findings.all.iter().map(ToString::to_string).collect();
            print_json(&lines);
            return Ok(ExitStatus::Invalid);
        }
        Err(findings) => return Err(CliError::Findings { findings }),
    }
    Ok(ExitStatus::Success)
}
