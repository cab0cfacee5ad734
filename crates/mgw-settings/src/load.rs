//! Reads and parses settings files.

use std::path::Path;

use serde::de::DeserializeOwned;
use toml_edit::Document;

use crate::locate::{find_line, format_path, line_of};
use crate::search::{Fault, deserialize_or_find_faults};
use crate::{Finding, Findings};

/// Reads settings from the file at `path`.
///
/// # Errors
/// All faults of the file, including unknown keys; or one finding if the file can't be read.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Findings> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| Findings {
        all: vec![Finding {
            file: file.clone(),
            line: 0,
            key: String::new(),
            message: format!("can't read the file: {error}"),
        }],
    })?;
    parse(&file, &text)
}

/// Parses settings from `text`. The findings name `file` as their source.
///
/// Wrong types, missing keys and unknown keys are all reported together. A text that isn't
/// valid TOML gives its first syntax error only.
///
/// ```
/// #[derive(Debug, serde::Deserialize)]
/// struct Listen {
///     port: u16,
///     host: String,
/// }
/// let findings = mgw_settings::parse::<Listen>("a.toml", "port = \"x\"\nhots = 1").unwrap_err();
/// let lines: Vec<_> = findings.all.iter().map(ToString::to_string).collect();
/// assert_eq!(
///     lines,
///     [
///         "a.toml:0: host: missing key",
///         "a.toml:1: port: invalid type: string \"x\", expected u16",
///         "a.toml:2: hots: unknown key",
///     ]
/// );
/// ```
///
/// # Errors
/// All faults of the text, sorted by line.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Findings> {
    let document = Document::parse(text)
        .map_err(|error| report_syntax(file, text, error.span(), error.message()))?;
    let table: toml::Table = toml::from_str(text)
        .map_err(|error| report_syntax(file, text, error.span(), error.message()))?;
    deserialize_or_find_faults(table).map_err(|faults| {
        let to_finding = |fault: Fault| Finding {
            file: file.to_owned(),
            line: find_line(&document, text, &fault.path),
            key: format_path(&fault.path),
            message: fault.message,
        };
        let mut all: Vec<_> = faults.into_iter().map(to_finding).collect();
        all.sort_by(|left, right| (left.line, &left.key).cmp(&(right.line, &right.key)));
        Findings { all }
    })
}

fn report_syntax(
    file: &str,
    text: &str,
    span: Option<std::ops::Range<usize>>,
    message: &str,
) -> Findings {
    Findings {
        all: vec![Finding {
            file: file.to_owned(),
            line: span.map_or(0, |span| line_of(text, span.start)),
            key: String::new(),
            message: message.trim_end().to_owned(),
        }],
    }
}
