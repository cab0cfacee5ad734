//! Rules on top of the inventory.

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

/// Bounds of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerRules {
    /// How long an ended claim is kept, from its outcome.
    pub window_ms: Millis,
    /// Most claims held at once; more are refused.
    pub max_claims: u32,
    /// Most digests of forgotten keys that carry no time.
    pub max_tombstones: u32,
    /// Most bytes of an answer that are recorded with its outcome.
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

/// Bounds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestRules {
    /// Deadline of a request that names none.
    pub default_deadline_ms: Millis,
    /// Latest deadline that a request may name.
    pub max_deadline_ms: Millis,
    /// Retries allowed for each hundred first attempts.
    pub retry_budget_percent: u32,
    /// How long callers may keep an address answer.
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

/// All rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Bounds of the ledger.
    pub ledger: LedgerRules,
    /// Bounds of requests.
    pub requests: RequestRules,
    /// Records that the audit trail keeps.
    pub audit_records: u32,
    /// Answers to changes that are remembered for resends.
    pub remembered_changes: u32,
    /// Differences that are kept for entries at older revisions.
    pub kept_diffs: u32,
    /// Bytes a second that the weight store sends.
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
