//! Set-up of the log: lines on standard error, or decisions on standard output that never block.

use std::sync::{Arc, LazyLock, mpsc};
use std::thread;

use mgw_settings::{LogFormat, LogSettings};
use mgw_world::{Clock, Millis};
use prometheus::{IntCounterVec, Opts};
use tokio::time::sleep;
use tracing::warn;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

use crate::line_budget::{BudgetFilter, LineBudget};

/// Lines that wait for a standard output that is slow or stuck; more are dropped and counted.
const QUEUED_LINES: usize = 4_096;
/// Lines of one kind in a second; more are left out and counted.
const LINES_PER_SECOND: u32 = 100;
/// Time in which the lines that wait are written at the end of a process.
const FLUSH_LIMIT_MS: Millis = Millis(1_500);
/// Time between two reports of lines that weren't written.
const REPORT_MS: Millis = Millis(5_000);

/// Log lines that weren't written, by cause.
static UNWRITTEN: LazyLock<IntCounterVec> = LazyLock::new(|| {
    let options = Opts::new(
        "mgw_log_lines_unwritten_total",
        "Log lines that weren't written, by cause.",
    );
    prometheus::register_int_counter_vec!(options, &["cause"])
        .unwrap_or_else(|error| panic!("a metric of the log: {error}"))
});

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

/// The log of decisions; what waits is written when it is dropped, if standard output takes it.
pub struct DecisionLog {
    /// What wasn't written.
    pub unwritten: UnwrittenLines,
    writer: Option<WorkerGuard>,
}

impl Drop for DecisionLog {
    fn drop(&mut self) {
        let writer = self.writer.take();
        let (flushed, waiting) = mpsc::channel();
        // With a full queue the guard itself writes to standard output, which may be stuck.
        thread::spawn(move || {
            drop(writer);
            // Nobody waits for it any more once the time is over.
            let _ = flushed.send(());
        });
        // The process ends either way; a stuck output mustn't keep it.
        let _ = waiting.recv_timeout(FLUSH_LIMIT_MS.to_duration());
    }
}

/// Counts the lines that weren't written.
#[derive(Clone)]
pub struct UnwrittenLines {
    dropped: ErrorCounter,
    budget: Arc<LineBudget>,
}

impl UnwrittenLines {
    /// Lines that were dropped because standard output was too slow.
    #[must_use]
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Writes a line and counts in the metrics, every few seconds, what wasn't written.
    pub async fn run_reports(self) {
        let mut dropped_before = 0;
        loop {
            sleep(REPORT_MS.to_duration()).await;
            for suppressed in self.budget.take_suppressed() {
                warn!(
                    kind = suppressed.kind,
                    lines = suppressed.lines,
                    "log lines left out"
                );
                count_unwritten("over the bound of a kind", suppressed.lines);
            }
            let dropped = self.dropped_lines();
            let newly = dropped - dropped_before;
            dropped_before = dropped;
            if newly > 0 {
                warn!(lines = newly, "log lines dropped; standard output is slow");
                count_unwritten("standard output is slow", newly as u64);
            }
        }
    }
}

fn count_unwritten(cause: &str, lines: u64) {
    UNWRITTEN.with_label_values(&[cause]).inc_by(lines);
}

/// Starts logging one JSON object a line to standard output. A writer of its own takes the lines
/// from a bounded queue, so that no decision waits for the output.
#[must_use]
pub fn start_decision_log(settings: &LogSettings) -> DecisionLog {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUED_LINES)
        .finish(std::io::stdout());
    let unwritten = UnwrittenLines {
        dropped: writer.error_counter(),
        budget: Arc::new(LineBudget::new(LINES_PER_SECOND, Clock::monotonic())),
    };
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_filter(BudgetFilter::from(Arc::clone(&unwritten.budget)));
    // A process has one log: a second call in it changes nothing.
    let _ = tracing_subscriber::registry()
        .with(read_filter(settings))
        .with(lines)
        .try_init();
    DecisionLog {
        unwritten,
        writer: Some(guard),
    }
}

fn read_filter(settings: &LogSettings) -> EnvFilter {
    EnvFilter::try_new(&settings.filter).unwrap_or_else(|_| EnvFilter::new("info"))
}
