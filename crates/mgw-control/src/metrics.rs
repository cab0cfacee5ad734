//! Metrics of a control.

use prometheus::{IntCounter, IntGauge, Registry};

/// All metrics of a control, with the registry that holds them.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Registry in which all metrics are registered.
    pub registry: Registry,
    /// 1 while this control is the leader, else 0.
    pub is_leader: IntGauge,
    /// Current term of the log.
    pub term: IntGauge,
    /// Index of the last applied entry.
    pub applied_index: IntGauge,
    /// Number of syncs since the data folder was opened.
    pub sync_count: IntGauge,
    /// 1 while a write waits for space on the disk, else 0.
    pub is_disk_full: IntGauge,
    /// Voters of the group, while this control leads, else 0.
    pub voters: IntGauge,
    /// Voters that don't answer, while this control leads, else 0.
    pub unreachable_voters: IntGauge,
    /// Number of ledger claims whose outcome is unknown.
    pub unknown_claims: IntGauge,
    /// Deliveries of log messages that another control didn't acknowledge in time.
    pub failed_deliveries: IntCounter,
    /// Bytes of the view exchanges that this process started, replies included.
    pub view_bytes: IntCounter,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// When the name of a metric is invalid or registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let metrics = Self {
            registry: Registry::new(),
            is_leader: IntGauge::new("mgw_control_leads", "Whether this control leads.")?,
            term: IntGauge::new("mgw_control_term", "Current term of the log.")?,
            applied_index: IntGauge::new("mgw_control_applied_index", "Last index applied.")?,
            sync_count: IntGauge::new("mgw_control_syncs", "Syncs of the data folder.")?,
            is_disk_full: IntGauge::new(
                "mgw_control_disk_full",
                "Whether a write waits for space on the disk.",
            )?,
            voters: IntGauge::new(
                "mgw_control_voters",
                "Voters of the group, as its leader knows them.",
            )?,
            unreachable_voters: IntGauge::new(
                "mgw_control_voters_unreachable",
                "Voters that don't answer the leader.",
            )?,
            unknown_claims: IntGauge::new(
                "mgw_ledger_unknown_claims",
                "Ledger claims whose outcome is unknown.",
            )?,
            failed_deliveries: IntCounter::new(
                "mgw_control_deliveries_failed_total",
                "Deliveries of log messages that weren't acknowledged in time.",
            )?,
            view_bytes: IntCounter::new("mgw_view_bytes_total", "Bytes of views exchanged.")?,
        };
        let gauges = [
            &metrics.is_leader,
            &metrics.term,
            &metrics.applied_index,
            &metrics.sync_count,
            &metrics.is_disk_full,
            &metrics.voters,
            &metrics.unreachable_voters,
            &metrics.unknown_claims,
        ];
        for gauge in gauges {
            metrics.registry.register(Box::new(gauge.clone()))?;
        }
        for counter in [&metrics.failed_deliveries, &metrics.view_bytes] {
            metrics.registry.register(Box::new(counter.clone()))?;
        }
        Ok(metrics)
    }
}
