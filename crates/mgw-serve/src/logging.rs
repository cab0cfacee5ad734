//! Set-up of the log: lines on standard error, as text or JSON.

use mgw_settings::{LogFormat, LogSettings};
use tracing_subscriber::EnvFilter;

/// Starts logging to standard error. Later calls change nothing.
pub fn start_logging(settings: &LogSettings) {
    let filter = EnvFilter::try_new(&settings.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_env_filter(filter);
    let _ = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
