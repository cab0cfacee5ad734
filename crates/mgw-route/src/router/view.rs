//! What a router is told about a target, and what it shows of it.

use std::sync::Arc;

use mgw_contract::target::LoadReport;
use mgw_world::{Millis, Target, TargetName};

/// A target that takes new work, with the newest news of it.
#[derive(Debug, Clone)]
pub struct TargetInput {
    /// The target as it announced itself.
    pub target: Arc<Target>,
    /// Part of its capacity that may be used, from 0 to 1, while it warms up.
    pub warm_share: f64,
    /// Its newest load report.
    pub load: LoadReport,
    /// Age of that report.
    pub load_age_ms: Millis,
}

/// A target as the router sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetView {
    /// Name of the target.
    pub name: TargetName,
    /// Requests that this router has in flight there.
    pub in_flight: u32,
    /// Bytes of KV memory that this router has reserved there.
    pub kv_bytes: u64,
    /// Requests that this router allows itself there.
    pub request_limit: u32,
    /// Average step latency that this router observed.
    pub latency_ms: Option<Millis>,
    /// Out of choice until this point after local failures.
    pub suspect_until: Option<Millis>,
    /// Whether it takes new work, apart from local failures.
    pub eligible: bool,
}
