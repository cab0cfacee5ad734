//! Sets up logging: to standard error, or as decision log to standard output without ever blocking.

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

/// Maximum number of lines that are queued for a slow or blocked standard output; further lines are
/// dropped and counted.
const QUEUED_LINES: usize = 4_096;
/// Maximum number of lines per second from one callsite; further lines are suppressed and counted.
const LINES_PER_SECOND: u32 = 100;
/// Maximum time for writing the queued lines at the end of a process.
const FLUSH_TIMEOUT_MS: Millis = Millis(1_500);
/// Time between two reports of lines that weren't written.
const REPORT_INTERVAL_MS: Millis = Millis(5_000);

/// Log lines that weren't written, by cause.
static UNWRITTEN: LazyLock<IntCounterVec> = LazyLock::new(|| {
    let options = Opts::new(
        "mgw_log_lines_unwritten_total",
        "Log lines that weren't written, by cause.",
    );
    prometheus::register_int_counter_vec!(options, &["cause"])
        .unwrap_or_else(|error| panic!("can't register the metric of unwritten log lines: {error}"))
});

/// Starts logging to standard error. Only the first call in a process has an effect.
pub fn start_logging(settings: &LogSettings) {
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_env_filter(read_filter(settings));
    let _ = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

/// The decision log. When it is dropped, the queued lines are written, unless standard output is
/// blocked for longer than `FLUSH_TIMEOUT_MS`.
pub struct DecisionLog {
    /// Counts of the lines that weren't written.
    pub unwritten: UnwrittenLines,
    writer: Option<WorkerGuard>,
}

impl Drop for DecisionLog {
    fn drop(&mut self) {
        let writer = self.writer.take();
        let (flush_done, flush_wait) = mpsc::channel();
        // If the queue is full, dropping the guard writes to standard output, which may be blocked.
        thread::spawn(move || {
            drop(writer);
            // After the timeout the receiver is dropped, and sending fails.
            let _ = flush_done.send(());
        });
        // The process ends in any case; a blocked output must not delay it further.
        let _ = flush_wait.recv_timeout(FLUSH_TIMEOUT_MS.to_duration());
    }
}

/// Counts the log lines that weren't written.
#[derive(Clone)]
pub struct UnwrittenLines {
    dropped: ErrorCounter,
    budget: Arc<LineBudget>,
}

impl UnwrittenLines {
    /// Number of lines that were dropped because standard output was too slow.
    #[must_use]
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Every few seconds, logs how many lines weren't written and adds them to the metrics. Runs until
    /// it is dropped.
    pub async fn run_reports(self) {
        let mut dropped_before = 0;
        loop {
            sleep(REPORT_INTERVAL_MS.to_duration()).await;
            for suppressed in self.budget.take_suppressed() {
                warn!(
                    kind = suppressed.callsite,
                    lines = suppressed.lines,
                    "log lines suppressed: too many per second from one callsite"
                );
                count_unwritten("over the bound of a kind", suppressed.lines);
            }
            let dropped = self.dropped_lines();
            let newly_dropped = dropped - dropped_before;
            dropped_before = dropped;
            if newly_dropped > 0 {
                warn!(
                    lines = newly_dropped,
                    "log lines dropped: standard output is too slow"
                );
                count_unwritten("standard output is slow", newly_dropped as u64);
            }
        }
    }
}

fn count_unwritten(cause: &str, lines: u64) {
    UNWRITTEN.with_label_values(&[cause]).inc_by(lines);
}

/// Starts logging to standard output, one JSON object per line. A separate thread writes the lines
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
    // A process has one log: only the first call in a process takes effect.
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
