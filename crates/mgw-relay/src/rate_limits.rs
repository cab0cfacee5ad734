//! Rate limits that targets state: what this entry has heard of them, its tokens, and the requests
//! that it refuses for want of one.

use mgw_peer::OthersReport;
use mgw_route::{ChainRouter, LimitChange, RequestRate, TargetRun};
use mgw_world::{Millis, ServiceName};
use tracing::{info, warn};

use crate::app::App;
use crate::dialect::StatedLimit;

impl App {
    /// Whether the entry knows the rate limits of targets. A process that can't ask a control goes on
    /// without that after a while.
    #[must_use]
    pub fn knows_limits(&self) -> bool {
        !self.is_starting() || self.rate_limits.lock().is_informed()
    }

    /// Records what an answer of a target tells of its rate limit.
    pub fn record_stated_limit(&self, target: &TargetRun, stated: StatedLimit) {
        match stated {
            StatedLimit::Unknown => {}
            StatedLimit::None => self.record_limit(target, None),
            StatedLimit::Rate(rate) => self.record_limit(target, Some(rate)),
            StatedLimit::Unreadable => self.log_unreadable_limit(target),
        }
    }

    fn record_limit(&self, target: &TargetRun, rate: Option<RequestRate>) {
        let now = self.clock.now();
        let change = {
            let mut limits = self.rate_limits.lock();
            limits.record_answer(target, rate, now)
        };
        if let Some(change) = change {
            self.log_limit_change(&change, "answer");
            self.report_due.notify_one();
        }
    }

    /// Applies what the control told on the report of `asked_at`.
    pub fn apply_limits(&self, others: &OthersReport, asked_at: Millis) {
        let now = self.clock.now();
        let changes = {
            let mut limits = self.rate_limits.lock();
            limits.apply(&others.limits, asked_at, now)
        };
        for change in &changes {
            self.log_limit_change(change, "control");
        }
    }

    /// Logs a changed limit; `source` tells who said so.
    fn log_limit_change(&self, change: &LimitChange, source: &'static str) {
        let from = change.from.map(tracing::field::display);
        let to = change.to.map(tracing::field::display);
        info!(
            target_name = %change.run.name,
            incarnation = %change.run.incarnation,
            from,
            to,
            stated_ms = change.age_ms.0,
            source,
            "rate limit of a target changed"
        );
        self.update_limited_targets();
    }

    /// Sets the metric of targets with a limit.
    pub fn update_limited_targets(&self) {
        let limited = i64::try_from(self.rate_limits.lock().len()).unwrap_or(i64::MAX);
        self.metrics.limited_targets.set(limited);
    }

    /// Logs a limit that can't be read once for each run of a target; what was known of it stays in
    /// force.
    fn log_unreadable_limit(&self, target: &TargetRun) {
        if self.unreadable_limits.lock().insert(target.clone()) {
            warn!(
                target_name = %target.name,
                incarnation = %target.incarnation,
                "can't read the target's rate limit; what was known of it stays in force"
            );
        }
    }

    /// Time after which the caller of a request that was refused for rate limits may return: the limits
    /// of the service's targets let so many requests of this entry through until then.
    #[must_use]
    pub fn limited_retry_ms(&self, service: &ServiceName, urgency: u8) -> Millis {
        let now = self.clock.now();
        let limits = self.rate_limits.lock();
        let of_chains = self.with_chains(service, |chains: &mut ChainRouter| {
            chains.limited_per_s(&limits)
        });
        let all_per_s = of_chains
            .unwrap_or_else(|| self.with_plain_balancer(|it| it.limited_per_s(service, &limits)));
        drop(limits);
        self.metrics.limited_refusals.inc();
        let own_per_s = all_per_s / f64::from(self.entries().max(1));
        let mut return_times = self.return_times.lock();
        let return_times = return_times.entry(service.clone()).or_default();
        return_times.next_ms(urgency, own_per_s, now)
    }
}
