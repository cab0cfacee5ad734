//! Set-up of the log: lines on standard error, or decisions on standard output that never block.

use mgw_settings::{LogFormat, LogSettings};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that wait for a standard output that is slow or stuck; more are dropped and counted.
const QUEUED_LINES: usize = 4_096;

/// Starts logging to standard error. Later calls change nothing.
pub fn start_logging(settings: &LogSettings) {
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_env_filter(read_filter(settings));
    let _ = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

/// The log of decisions; what waits is written when it is dropped.
pub struct DecisionLog {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl DecisionLog {
    /// Lines that were dropped because standard output was too slow.
    #[must_use]
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts logging one JSON object a line to standard output. A writer of its own takes the lines
/// from a bounded queue, so that no decision waits for the output.
#[must_use]
pub fn start_decision_log(settings: &LogSettings) -> DecisionLog {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUED_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let _ = tracing_subscriber::fmt()
        .with_writer(writer)
        .with_env_filter(read_filter(settings))
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .try_init();
    DecisionLog {
        dropped,
        _writer: guard,
    }
}

fn read_filter(settings: &LogSettings) -> EnvFilter {
    EnvFilter::try_new(&settings.filter).unwrap_or_else(|_| EnvFilter::new("info"))
}
