//! Input and output types for the targets of a router.

use std::sync::Arc;

use mgw_contract::target::LoadReport;
use mgw_world::{Millis, Target, TargetName};

/// A target that accepts new requests, with its latest load report.
#[derive(Debug, Clone)]
pub struct TargetInput {
    /// Description that the target announced.
    pub target: Arc<Target>,
    /// Fraction of the target's capacity that may be used, from 0 to 1; below 1 while it warms up.
    pub warm_share: f64,
    /// Latest load report of the target.
    pub load: LoadReport,
    /// Age of `load`.
    pub load_age_ms: Millis,
}

/// The router's local state of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetView {
    /// Name of the target.
    pub name: TargetName,
    /// Requests that this router has in flight at the target.
    pub in_flight: u32,
    /// Bytes of KV memory that this router has reserved at the target.
    pub kv_bytes: u64,
    /// Maximum number of requests that this router keeps in flight at the target, unless a fresh
    /// load report shows spare capacity.
    pub request_limit: u32,
    /// Average step latency that this router observed, if any.
    pub latency_ms: Option<Millis>,
    /// When the target can be chosen again after its last local failure, which may be in the past;
    /// `None` if no failure is recorded.
    pub suspect_until: Option<Millis>,
    /// Whether the target accepts new requests; local failures aren't considered here.
    pub eligible: bool,
}
