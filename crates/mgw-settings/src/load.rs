//! Reading and parsing of settings files.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::locate::line_of;
use crate::{Finding, Findings};

/// Reads settings from a file.
///
/// # Errors
/// All faults found, unknown keys included.
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

/// Parses settings; `file` is named in the findings.
///
/// # Errors
/// All faults found, unknown keys included.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Findings> {
    let mut all = Vec::new();
    let settings = toml::Deserializer::parse(text).and_then(|deserializer| {
        serde_ignored::deserialize(deserializer, |path| {
            all.push(Finding {
                file: file.to_owned(),
                line: 0,
                key: path.to_string(),
                message: "unknown key".to_owned(),
            });
        })
    });
    match settings {
        Ok(settings) if all.is_empty() => Ok(settings),
        Ok(_) => Err(Findings { all }),
        Err(error) => {
            all.push(Finding {
                file: file.to_owned(),
                line: line_of(text, error.span().map_or(0, |span| span.start)),
                key: String::new(),
                message: error.message().to_owned(),
            });
            Err(Findings { all })
        }
    }
}
