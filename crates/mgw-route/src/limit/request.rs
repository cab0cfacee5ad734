//! Input and output types of admission control.

use mgw_contract::caller::Reason;
use mgw_world::{Millis, RequestId, WorkspaceName};

/// Capacity for concurrent requests, as estimated by this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionCapacity {
    /// Most requests that run at once.
    pub max_requests: u32,
    /// Bytes of KV memory for all running requests together.
    pub kv_bytes: u64,
}

impl Default for AdmissionCapacity {
    fn default() -> Self {
        Self {
            max_requests: 64,
            kv_bytes: u64::MAX,
        }
    }
}

/// Settings of admission control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Most queued requests, over all workspaces.
    pub max_queued: usize,
    /// Longest time in the queue; a request with a deadline may have to start earlier.
    pub max_wait_ms: Millis,
    /// Fraction of the time until the latest start that the expected wait may take; below one,
    /// since the wait is an estimate and an answer after the deadline is worthless.
    pub max_wait_fraction: f64,
    /// Time over which the throughput of finished requests is averaged.
    pub rate_window_ms: Millis,
    /// Shortest delay before a retry that a refused caller is given.
    pub min_retry_after_ms: Millis,
    /// Longest delay before a retry that a refused caller is given.
    pub max_retry_after_ms: Millis,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_queued: 4096,
            max_wait_ms: Millis(5_000),
            max_wait_fraction: 0.7,
            rate_window_ms: Millis(2_000),
            min_retry_after_ms: Millis(50),
            max_retry_after_ms: Millis(30_000),
        }
    }
}

/// A request offered for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Identifies the request in later calls and events.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Weight of the workspace, which sets its share of the capacity relative to the others.
    pub weight: u32,
    /// Priority within the workspace; higher starts first.
    pub priority: u8,
    /// Time by which the answer must be complete.
    pub deadline_ms: Option<Millis>,
    /// Tokens of prompt and answer, as a measure of the request's cost.
    pub tokens: u32,
    /// KV memory that the request needs over all stages.
    pub kv_bytes: u64,
}

/// Decision about an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request starts now.
    Start,
    /// The request is queued; an [`Event`] follows.
    Queued,
    /// The request is refused and has not run.
    Refused {
        /// Why the request is refused.
        reason: Reason,
        /// Delay after which the caller may retry.
        retry_after_ms: Millis,
    },
}

/// Outcome for a request that was queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The request starts now.
    Start {
        /// Identifies the request.
        id: RequestId,
    },
    /// The request is removed from the queue and has not run.
    Refused {
        /// Identifies the request.
        id: RequestId,
        /// Why the request is refused.
        reason: Reason,
        /// Delay after which the caller may retry.
        retry_after_ms: Millis,
    },
}
