//! Log lines of admission levels.

use mgw_route::LevelStep;
use tracing::info;

/// Logs a change of an admission level with what it was worked out from.
pub fn log_level_step(step: &LevelStep) {
    let rates = step.rates.iter().map(|rate| {
        format!(
            "{}:{:.0}/{:.0}/{:.0}/{:.0}",
            rate.urgency, rate.offered_per_s, rate.begun_per_s, rate.full_per_s, rate.below_per_s
        )
    });
    let rates: Vec<String> = rates.collect();
    info!(
        service = %step.service,
        from_urgency = step.from.as_ref().map(|level| level.urgency),
        to_urgency = step.to.as_ref().map(|level| level.urgency),
        share_permille = step.to.as_ref().map(|level| level.share_permille),
        least_permille = step.to.as_ref().map(|level| level.least_permille),
        admitted_per_s = step.admitted_per_s,
        offered_begun_full_below_per_s = %rates.join(","),
        "admission level changed"
    );
}
