//! Prometheus metrics of an entry.

use mgw_contract::caller::{Outcome, Reason};
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::engines::EngineCounts;

/// Upper bounds of the step time buckets in seconds.
const STEP_BUCKETS_S: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// All metrics of an entry, and the registry in which they are registered.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Registry of all metrics below.
    pub registry: Registry,
    /// Requests that have ended, by outcome and reason.
    pub requests: IntCounterVec,
    /// Number of running requests.
    pub in_flight: IntGauge,
    /// Number of requests queued for admission.
    pub queued: IntGauge,
    /// Tokens sent to callers.
    pub tokens: IntCounter,
    /// Stages that were rebuilt on other targets.
    pub stage_rebuilds: IntCounter,
    /// Steps sent to engines.
    pub steps: IntCounter,
    /// Messages exchanged with engines, and their bytes.
    pub engines: EngineCounts,
    /// Duration of a step as this entry observes it.
    pub step_seconds: Histogram,
    /// Revision of the configuration in force.
    pub revision: IntGauge,
    /// Milliseconds since a control last confirmed the configuration.
    pub config_age_ms: IntGauge,
    /// Bytes of views exchanged with other processes.
    pub view_bytes: IntCounter,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// When the description of a metric is invalid or a metric is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let step_options = HistogramOpts::new("mgw_step_seconds", "Time of a stage step.")
            .buckets(STEP_BUCKETS_S.to_vec());
        let outcome_options = Opts::new("mgw_requests_total", "Requests ended.");
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(outcome_options, &["outcome", "reason"])?,
            in_flight: IntGauge::new("mgw_requests_in_flight", "Requests running.")?,
            queued: IntGauge::new("mgw_requests_queued", "Requests waiting for admission.")?,
            tokens: IntCounter::new("mgw_tokens_total", "Tokens handed to callers.")?,
            stage_rebuilds: IntCounter::new("mgw_stage_rebuilds_total", "Stages rebuilt.")?,
            steps: IntCounter::new("mgw_steps_total", "Steps sent to engines.")?,
            engines: EngineCounts {
                step_messages: IntCounter::new("mgw_step_messages_total", "Messages of steps.")?,
                step_bytes: IntCounter::new("mgw_step_bytes_total", "Bytes of step bodies.")?,
            },
            step_seconds: Histogram::with_opts(step_options)?,
            revision: IntGauge::new("mgw_config_revision", "Revision in force.")?,
            config_age_ms: IntGauge::new(
                "mgw_config_age_ms",
                "Milliseconds since a control confirmed the revision in force.",
            )?,
            view_bytes: IntCounter::new("mgw_view_bytes_total", "Bytes of views exchanged.")?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        registry.register(Box::new(metrics.queued.clone()))?;
        registry.register(Box::new(metrics.tokens.clone()))?;
        registry.register(Box::new(metrics.stage_rebuilds.clone()))?;
        registry.register(Box::new(metrics.steps.clone()))?;
        registry.register(Box::new(metrics.engines.step_messages.clone()))?;
        registry.register(Box::new(metrics.engines.step_bytes.clone()))?;
        registry.register(Box::new(metrics.step_seconds.clone()))?;
        registry.register(Box::new(metrics.revision.clone()))?;
        registry.register(Box::new(metrics.config_age_ms.clone()))?;
        registry.register(Box::new(metrics.view_bytes.clone()))?;
        Ok(metrics)
    }

    /// Counts a request that has ended.
    pub fn count_outcome(&self, outcome: Outcome, reason: Reason) {
        let labels = [outcome.to_string(), reason.to_string()];
        self.requests.with_label_values(&labels).inc();
    }
}
