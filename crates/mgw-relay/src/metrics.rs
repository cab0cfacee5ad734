//! Metrics of a relay.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 11] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 20.0];

/// All metrics of a relay and their registry.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Registry that renders the metrics page.
    pub registry: Registry,
    /// Requests by kind and outcome.
    pub requests: IntCounterVec,
    /// Sends to targets, by outcome of the send.
    pub sends: IntCounterVec,
    /// Moves of streams to other chains, by cause.
    pub moves: IntCounterVec,
    /// Time from the arrival of a request to the first event of its answer.
    pub first_event: Histogram,
    /// Time from the arrival of a request to the end of its answer.
    pub whole_answer: Histogram,
    /// Targets that asked for no requests, by cause.
    pub exclusions: IntCounterVec,
    /// Probes of engines that brought no report, by failure.
    pub failed_probes: IntCounterVec,
    /// Calls whose connection to the target broke, by what a probe of the target found.
    pub broken_sends: IntCounterVec,
    /// Connections to targets that requests and probes asked for, by outcome.
    pub connections: IntCounterVec,
    /// Whether the entry's own links to the targets are cut: 1 or 0.
    pub links_cut: IntGauge,
    /// Tunnels to targets that other entries asked for, by outcome.
    pub tunnels: IntCounterVec,
    /// Targets that other entries have lost, by the last load report.
    pub lost_by_others: IntGauge,
    /// Targets with a rate limit.
    pub limited_targets: IntGauge,
    /// Sends to targets with a rate limit.
    pub limited_sends: IntCounter,
    /// Requests that were refused because rate limits of targets left no room for them.
    pub limited_refusals: IntCounter,
    /// Urgency of the admission level, by service.
    pub level_urgency: IntGaugeVec,
    /// Fraction of the requests of that urgency that is admitted, by service.
    pub level_share: IntGaugeVec,
    /// Requests that were refused as below the admission level, by urgency.
    pub below_level_refusals: IntCounterVec,
    /// Refusals of targets for lack of room, by who got them: this entry or another one.
    pub full_refusals: IntCounterVec,
    /// Targets that are believed to have less room than their memory, after a refusal.
    pub full_targets: IntGauge,
    /// Parts of prompts that are kept from targets.
    pub quarantined_parts: IntGauge,
    /// Whole requests that are kept from targets.
    pub quarantined_digests: IntGauge,
    /// Requests that were kept from targets because they or a part of their prompt are quarantined.
    pub quarantined_requests: IntCounter,
    /// Targets that may get new work.
    pub targets: IntGauge,
    /// Version of the routing document in force.
    pub routing_version: IntGauge,
    /// Fetches of routing documents from controls, by outcome.
    pub routing_fetches: IntCounterVec,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// When the description of a metric is invalid or its name is registered already.
    pub fn new() -> Result<Self, prometheus::Error> {
        let latency = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            Histogram::with_opts(options)
        };
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                Opts::new("mgw_relay_requests_total", "Requests by kind and outcome."),
                &["kind", "outcome"],
            )?,
            sends: IntCounterVec::new(
                Opts::new("mgw_relay_sends_total", "Sends to targets by end."),
                &["end"],
            )?,
            moves: IntCounterVec::new(
                Opts::new(
                    "mgw_relay_moves_total",
                    "Streams that changed targets, by cause.",
                ),
                &["cause"],
            )?,
            first_event: latency(
                "mgw_relay_first_event_seconds",
                "Time from a request to the first event of its answer.",
            )?,
            whole_answer: latency(
                "mgw_relay_answer_seconds",
                "Time from a request to the end of its answer.",
            )?,
            exclusions: IntCounterVec::new(
                Opts::new(
                    "mgw_relay_exclusions_total",
                    "Targets left out because they asked for it, by cause.",
                ),
                &["cause"],
            )?,
            failed_probes: IntCounterVec::new(
                Opts::new(
                    "mgw_relay_failed_probes_total",
                    "Probes of engines that brought no report, by failure.",
                ),
                &["failure"],
            )?,
            broken_sends: IntCounterVec::new(
                Opts::new(
                    "mgw_relay_broken_sends_total",
                    "Calls whose connection to the target broke, by what a probe of the target found.",
                ),
                &["target"],
            )?,
            connections: IntCounterVec::new(
                Opts::new(
                    "mgw_relay_connections_total",
                    "Connections to targets that were asked for, by outcome.",
                ),
                &["outcome"],
            )?,
            links_cut: IntGauge::new(
                "mgw_relay_links_cut",
                "Whether the own links to the targets are cut.",
            )?,
            tunnels: IntCounterVec::new(
                Opts::new(
                    "mgw_relay_tunnels_total",
                    "Tunnels to targets that other entries asked for, by outcome.",
                ),
                &["outcome"],
            )?,
            lost_by_others: IntGauge::new(
                "mgw_relay_lost_by_others",
                "Targets that several other entries have lost.",
            )?,
            limited_targets: IntGauge::new(
                "mgw_relay_limited_targets",
                "Targets with a rate limit.",
            )?,
            limited_sends: IntCounter::new(
                "mgw_relay_limited_sends_total",
                "Sends to targets with a rate limit.",
            )?,
            limited_refusals: IntCounter::new(
                "mgw_relay_limited_refusals_total",
                "Requests that were refused because rate limits left no room for them.",
            )?,
            level_urgency: IntGaugeVec::new(
                Opts::new(
                    "mgw_relay_admission_urgency",
                    "Urgency of which a part is admitted; 10 while everything is.",
                ),
                &["service"],
            )?,
            level_share: IntGaugeVec::new(
                Opts::new(
                    "mgw_relay_admission_share_permille",
                    "Fraction of the requests of that urgency that is admitted, in thousandths.",
                ),
                &["service"],
            )?,
            below_level_refusals: IntCounterVec::new(
                Opts::new(
                    "mgw_relay_below_level_refusals_total",
                    "Requests refused as below the admission level, by urgency.",
                ),
                &["urgency"],
            )?,
            full_refusals: IntCounterVec::new(
                Opts::new(
                    "mgw_relay_full_refusals_total",
                    "Refusals of targets for lack of room, by who got them.",
                ),
                &["entry"],
            )?,
            full_targets: IntGauge::new(
                "mgw_relay_full_targets",
                "Targets that are believed to have less room than their memory.",
            )?,
            quarantined_parts: IntGauge::new(
                "mgw_relay_quarantined_parts",
                "Parts of prompts that are kept from targets.",
            )?,
            quarantined_digests: IntGauge::new(
                "mgw_relay_quarantined_digests",
                "Whole requests, by their digest, that are kept from targets.",
            )?,
            quarantined_requests: IntCounter::new(
                "mgw_relay_quarantined_requests_total",
                "Requests that were kept from targets because they or a part are quarantined.",
            )?,
            targets: IntGauge::new("mgw_relay_targets", "Targets that may get new work.")?,
            routing_version: IntGauge::new(
                "mgw_relay_routing_version",
                "Version of the routing document in force.",
            )?,
            routing_fetches: IntCounterVec::new(
                Opts::new(
                    "mgw_relay_routing_fetches_total",
                    "Fetches of routing documents from controls, by outcome.",
                ),
                &["outcome"],
            )?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.sends.clone()))?;
        registry.register(Box::new(metrics.moves.clone()))?;
        registry.register(Box::new(metrics.first_event.clone()))?;
        registry.register(Box::new(metrics.whole_answer.clone()))?;
        registry.register(Box::new(metrics.exclusions.clone()))?;
        registry.register(Box::new(metrics.failed_probes.clone()))?;
        registry.register(Box::new(metrics.broken_sends.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.links_cut.clone()))?;
        registry.register(Box::new(metrics.tunnels.clone()))?;
        registry.register(Box::new(metrics.lost_by_others.clone()))?;
        registry.register(Box::new(metrics.limited_targets.clone()))?;
        registry.register(Box::new(metrics.limited_sends.clone()))?;
        registry.register(Box::new(metrics.limited_refusals.clone()))?;
        registry.register(Box::new(metrics.level_urgency.clone()))?;
        registry.register(Box::new(metrics.level_share.clone()))?;
        registry.register(Box::new(metrics.below_level_refusals.clone()))?;
        registry.register(Box::new(metrics.full_refusals.clone()))?;
        registry.register(Box::new(metrics.full_targets.clone()))?;
        registry.register(Box::new(metrics.quarantined_parts.clone()))?;
        registry.register(Box::new(metrics.quarantined_digests.clone()))?;
        registry.register(Box::new(metrics.quarantined_requests.clone()))?;
        registry.register(Box::new(metrics.targets.clone()))?;
        registry.register(Box::new(metrics.routing_version.clone()))?;
        registry.register(Box::new(metrics.routing_fetches.clone()))?;
        Ok(metrics)
    }

    /// Counts a probe that brought no report.
    pub fn count_failed_probe(&self, failure: &str) {
        self.failed_probes.with_label_values(&[failure]).inc();
    }

    /// Counts a connection to a target that was asked for.
    pub fn count_connection(&self, outcome: &str) {
        self.connections.with_label_values(&[outcome]).inc();
    }

    /// Counts a tunnel that another entry asked for.
    pub fn count_tunnel(&self, outcome: &str) {
        self.tunnels.with_label_values(&[outcome]).inc();
    }

    /// Counts a refusal for lack of room that this entry got.
    pub fn count_full_refusal(&self) {
        self.full_refusals.with_label_values(&["own"]).inc();
    }

    /// Counts refusals learnt from other entries and sets the number of targets with less room.
    pub fn set_full_targets(&self, learnt: usize, limited: usize) {
        let refusals = self.full_refusals.with_label_values(&["other"]);
        refusals.inc_by(learnt as u64);
        self.full_targets
            .set(i64::try_from(limited).unwrap_or(i64::MAX));
    }

    /// Counts a fetch of a routing document by its outcome.
    pub fn count_routing_fetch(&self, outcome: &str) {
        self.routing_fetches.with_label_values(&[outcome]).inc();
    }
}
