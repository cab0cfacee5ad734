//! Bounds how many log lines of each kind are written in a second.
//!
//! A kind is a place in the code. Under load one kind could fill the queue to the output and push
//! out the lines of all others.

use std::collections::HashMap;

use mgw_world::{Clock, Millis};
use parking_lot::Mutex;
use tracing::callsite::Identifier;
use tracing::{Event, Metadata};
use tracing_subscriber::layer::{Context, Filter};

/// Name of the field that marks the end of a failed request. Such lines aren't left out.
pub const FAILURE_FIELD: &str = "failure";
const SECOND_MS: Millis = Millis(1_000);

/// Lines of one kind that were left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuppressedLines {
    /// Place in the code.
    pub kind: &'static str,
    /// Number of lines.
    pub lines: u64,
}

#[derive(Debug)]
struct Kind {
    name: &'static str,
    since: Millis,
    written: u32,
    suppressed: u64,
}

/// A filter that lets so many lines of each kind through in a second.
#[derive(Debug)]
pub struct LineBudget {
    lines_per_second: u32,
    clock: Clock,
    kinds: Mutex<HashMap<Identifier, Kind>>,
}

impl LineBudget {
    /// A budget of so many lines a second for each kind.
    #[must_use]
    pub fn new(lines_per_second: u32, clock: Clock) -> Self {
        Self {
            lines_per_second,
            clock,
            kinds: Mutex::default(),
        }
    }

    /// Takes the counts of the lines that were left out since the last call.
    pub fn take_suppressed(&self) -> Vec<SuppressedLines> {
        let mut kinds = self.kinds.lock();
        let counts = kinds.values_mut().map(|kind| SuppressedLines {
            kind: kind.name,
            lines: std::mem::take(&mut kind.suppressed),
        });
        counts.filter(|count| count.lines > 0).collect()
    }

    /// Whether a line may be written now; counts it either way.
    fn take(&self, metadata: &'static Metadata<'static>) -> bool {
        if metadata.fields().field(FAILURE_FIELD).is_some() {
            return true;
        }
        let now = self.clock.now();
        let mut kinds = self.kinds.lock();
        let kind = kinds.entry(metadata.callsite()).or_insert(Kind {
            name: metadata.name(),
            since: now,
            written: 0,
            suppressed: 0,
        });
        if now - kind.since >= SECOND_MS {
            kind.since = now;
            kind.written = 0;
        }
        let is_within = kind.written < self.lines_per_second;
        if is_within {
            kind.written += 1;
        } else {
            kind.suppressed += 1;
        }
        is_within
    }
}

/// The filter as the subscriber takes it; it shares the budget with whoever reports what was left
/// out.
#[derive(Debug, Clone, derive_more::From)]
pub struct BudgetFilter(std::sync::Arc<LineBudget>);

impl<S> Filter<S> for BudgetFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.0.take(event.metadata())
    }
}
