//! The log lines of each callsite are limited per second, those about failed requests aren't, and
//! the suppressed lines are counted.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use mgw_serve::{BudgetFilter, LineBudget};
use mgw_world::{Clock, Millis};
use parking_lot::Mutex;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber, info, warn};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};

const LINES_PER_SECOND: u32 = 5;

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

struct Message(String);

impl Visit for Message {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        if field.name() == "message" {
            self.0 = format!("{value:?}");
        }
    }
}

impl<S: Subscriber> Layer<S> for Lines {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut message = Message(String::new());
        event.record(&mut message);
        self.0.lock().push(message.0);
    }
}

impl Lines {
    fn count(&self, message: &str) -> usize {
        let lines = self.0.lock();
        lines.iter().filter(|line| *line == message).count()
    }
}

fn log_all(times: u32) {
    for _ in 0..times {
        info!("frequent");
        warn!(failure = "caller left", "failed");
    }
    info!("seldom");
}

#[test]
fn log_lines_are_limited_per_callsite_and_second_except_for_failed_requests() {
    let (clock, clock_hand) = Clock::manual();
    let budget = Arc::new(LineBudget::new(LINES_PER_SECOND, clock));
    let lines = Lines::default();
    let filtered = lines
        .clone()
        .with_filter(BudgetFilter::from(Arc::clone(&budget)));
    let subscriber = tracing_subscriber::registry().with(filtered);
    tracing::subscriber::with_default(subscriber, || {
        log_all(20);
        assert_eq!(lines.count("frequent"), 5);
        assert_eq!(lines.count("failed"), 20);
        assert_eq!(lines.count("seldom"), 1, "another callsite isn't displaced");
        let suppressed = budget.take_suppressed();
        let counts: Vec<u64> = suppressed.iter().map(|it| it.lines).collect();
        assert_eq!(counts, [15]);
        assert!(budget.take_suppressed().is_empty(), "reported only once");
        clock_hand.advance(Millis(1_000));
        log_all(3);
        assert_eq!(lines.count("frequent"), 8);
    });
}
