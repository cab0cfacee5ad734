//! Metrics of a control.

use prometheus::{IntCounter, IntGauge, Registry};

/// All metrics of a control, with the registry that holds them.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// The registry.
    pub registry: Registry,
    /// Whether this control leads.
    pub leads: IntGauge,
    /// Current term.
    pub term: IntGauge,
    /// Last index applied.
    pub applied: IntGauge,
    /// Syncs of the data folder.
    pub syncs: IntGauge,
    /// Ledger claims whose outcome is unknown.
    pub unknown_claims: IntGauge,
    /// Bytes of views exchanged with other processes.
    pub view_bytes: IntCounter,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// When a metric is described wrongly or registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let metrics = Self {
            registry: Registry::new(),
            leads: IntGauge::new("mgw_control_leads", "Whether this control leads.")?,
            term: IntGauge::new("mgw_control_term", "Current term of the log.")?,
            applied: IntGauge::new("mgw_control_applied_index", "Last index applied.")?,
            syncs: IntGauge::new("mgw_control_syncs", "Syncs of the data folder.")?,
            unknown_claims: IntGauge::new(
                "mgw_ledger_unknown_claims",
                "Ledger claims whose outcome is unknown.",
            )?,
            view_bytes: IntCounter::new("mgw_view_bytes_total", "Bytes of views exchanged.")?,
        };
        let gauges = [
            &metrics.leads,
            &metrics.term,
            &metrics.applied,
            &metrics.syncs,
            &metrics.unknown_claims,
        ];
        for gauge in gauges {
            metrics.registry.register(Box::new(gauge.clone()))?;
        }
        metrics
            .registry
            .register(Box::new(metrics.view_bytes.clone()))?;
        Ok(metrics)
    }
}
