//! Settings that every process has.

use serde::Deserialize;

/// Form of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged and how.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Filter such as `info` or `mgw_entry=debug,info`.
    pub filter: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::default(),
            filter: "info,tarpc=warn,ractor=warn".to_owned(),
        }
    }
}
