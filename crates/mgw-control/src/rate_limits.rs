//! Collects the rate limits that targets state, and gives entries the tokens for them.

use std::sync::atomic::Ordering;

use mgw_route::{EntryCounts, LimitReport, LimitUpdate};

use crate::app::App;

/// Takes an entry's report and returns what the entry is to know. Nothing is stored: entries report
/// limits again that this control doesn't know.
pub fn exchange_limits(
    app: &App,
    entry: &str,
    report: &LimitReport,
    reporting_entries: u32,
) -> LimitUpdate {
    let counts = EntryCounts {
        reporting: reporting_entries,
        in_view: app.entries_in_view.load(Ordering::Relaxed),
    };
    let now = app.clock.now();
    app.rate_limits.lock().exchange(entry, report, counts, now)
}
