//! Limits how many log lines per second each callsite writes.
//!
//! A callsite is a place in the code that logs. Under load, one callsite could fill the queue to the
//! output and displace the lines of all others.

use std::collections::HashMap;

use mgw_world::{Clock, Millis};
use parking_lot::Mutex;
use tracing::callsite::Identifier;
use tracing::{Event, Metadata};
use tracing_subscriber::layer::{Context, Filter};

/// Name of the field that marks the line about the end of a failed request. Such lines are never
/// suppressed.
pub const FAILURE_FIELD: &str = "failure";
const SECOND_MS: Millis = Millis(1_000);

/// Number of lines of one callsite that were suppressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuppressedLines {
    /// Name of the callsite, which states its place in the code.
    pub callsite: &'static str,
    /// Number of suppressed lines.
    pub lines: u64,
}

/// Counts of one callsite.
#[derive(Debug)]
struct CallsiteCounts {
    name: &'static str,
    /// Start of the current second.
    window_start: Millis,
    /// Lines written in the current second.
    written: u32,
    /// Lines suppressed since the last report.
    suppressed: u64,
}

/// Limits the number of log lines per second for each callsite.
#[derive(Debug)]
pub struct LineBudget {
    lines_per_second: u32,
    clock: Clock,
    callsites: Mutex<HashMap<Identifier, CallsiteCounts>>,
}

impl LineBudget {
    /// Creates a budget of `lines_per_second` for each callsite.
    #[must_use]
    pub fn new(lines_per_second: u32, clock: Clock) -> Self {
        Self {
            lines_per_second,
            clock,
            callsites: Mutex::default(),
        }
    }

    /// Returns the number of lines that were suppressed since the last call, for each callsite with
    /// any, and resets the counts.
    pub fn take_suppressed(&self) -> Vec<SuppressedLines> {
        let mut callsites = self.callsites.lock();
        let suppressed = callsites.values_mut().map(|counts| SuppressedLines {
            callsite: counts.name,
            lines: std::mem::take(&mut counts.suppressed),
        });
        suppressed.filter(|it| it.lines > 0).collect()
    }

    /// Counts a line, and returns whether it may be written now.
    fn admit(&self, metadata: &'static Metadata<'static>) -> bool {
        if metadata.fields().field(FAILURE_FIELD).is_some() {
            return true;
        }
        let now = self.clock.now();
        let mut callsites = self.callsites.lock();
        let counts = callsites
            .entry(metadata.callsite())
            .or_insert(CallsiteCounts {
                name: metadata.name(),
                window_start: now,
                written: 0,
                suppressed: 0,
            });
        if now - counts.window_start >= SECOND_MS {
            counts.window_start = now;
            counts.written = 0;
        }
        let is_admitted = counts.written < self.lines_per_second;
        if is_admitted {
            counts.written += 1;
        } else {
            counts.suppressed += 1;
        }
        is_admitted
    }
}

/// The `tracing` filter of a [`LineBudget`]; shares the budget with the code that reports suppressed
/// lines.
#[derive(Debug, Clone, derive_more::From)]
pub struct BudgetFilter(std::sync::Arc<LineBudget>);

impl<S> Filter<S> for BudgetFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.0.admit(event.metadata())
    }
}
