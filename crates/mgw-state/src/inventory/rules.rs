//! The rules of a configuration: limits of the ledger, of requests and of what is retained.

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

/// Limits of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerRules {
    /// How long an ended claim is kept after its outcome.
    pub window_ms: Millis,
    /// Maximum number of claims in the ledger; further ones are refused.
    pub max_claims: u32,
    /// Maximum number of tombstones, the digests of forgotten keys that carry no time.
    pub max_tombstones: u32,
    /// Maximum size of a response body that is recorded with its outcome; of a larger one only the
    /// digest is recorded.
    pub max_body_bytes: u32,
}

impl Default for LedgerRules {
    fn default() -> Self {
        Self {
            window_ms: Millis(24 * 3600 * 1000),
            max_claims: 30_000,
            max_tombstones: 200_000,
            max_body_bytes: 4096,
        }
    }
}

/// Limits of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestRules {
    /// Deadline of a request that states none.
    pub default_deadline_ms: Millis,
    /// Latest deadline that a request may state.
    pub max_deadline_ms: Millis,
    /// Retries allowed per hundred first attempts.
    pub retry_budget_percent: u32,
    /// How long callers may cache the addresses that they asked for.
    pub address_valid_ms: Millis,
}

impl Default for RequestRules {
    fn default() -> Self {
        Self {
            default_deadline_ms: Millis(60_000),
            max_deadline_ms: Millis(600_000),
            retry_budget_percent: 20,
            address_valid_ms: Millis(5_000),
        }
    }
}

/// All rules of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Limits of the ledger.
    pub ledger: LedgerRules,
    /// Limits of requests.
    pub requests: RequestRules,
    /// Number of records that the audit trail keeps.
    pub audit_records: u32,
    /// Number of changes whose replies are kept to answer resends.
    pub remembered_changes: u32,
    /// Number of differences that are kept to update entries at older revisions.
    pub kept_diffs: u32,
    /// Rate at which the weight store sends, in bytes per second.
    pub weight_store_bytes_per_s: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            ledger: LedgerRules::default(),
            requests: RequestRules::default(),
            audit_records: 20_000,
            remembered_changes: 10_000,
            kept_diffs: 512,
            weight_store_bytes_per_s: 1_000_000_000,
        }
    }
}
