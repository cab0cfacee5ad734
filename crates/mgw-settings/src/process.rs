//! Settings that all processes share.

use serde::Deserialize;

/// Format of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Format of the log lines.
    pub format: LogFormat,
    /// Filter by level and module, such as `info` or `mgw_entry=debug,info`.
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
