//! What goes into an admission and what comes out of it.

use mgw_contract::caller::Reason;
use mgw_world::{Millis, RequestId, WorkspaceName};

/// How much may run at once, as this entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionCapacity {
    /// Most requests at once.
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

/// Settings of an admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Most requests that wait, over all workspaces.
    pub max_queued: usize,
    /// Longest expected wait of a request that states no deadline.
    pub max_wait_ms: Millis,
    /// Part of the time left to the latest start that the expected wait may take; below one, since
    /// the wait is an estimate and the time after the deadline is lost.
    pub wait_part: f64,
    /// Span over which the rate of finished requests is averaged.
    pub rate_window_ms: Millis,
    /// Shortest time to come back that is given.
    pub min_retry_after_ms: Millis,
    /// Longest time to come back that is given.
    pub max_retry_after_ms: Millis,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_queued: 4096,
            max_wait_ms: Millis(5_000),
            wait_part: 0.7,
            rate_window_ms: Millis(2_000),
            min_retry_after_ms: Millis(50),
            max_retry_after_ms: Millis(30_000),
        }
    }
}

/// A request that asks to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Share of the workspace relative to the others' weights.
    pub weight: u32,
    /// Priority within the workspace; higher goes first.
    pub priority: u8,
    /// Point by which the answer must be whole.
    pub deadline_ms: Option<Millis>,
    /// Tokens of prompt and answer, as a measure of the work.
    pub tokens: u32,
    /// KV memory over all stages.
    pub kv_bytes: u64,
}

/// Answer to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request starts now.
    Start,
    /// The request waits; an [`Event`] follows.
    Queued,
    /// The request is given up and has not run.
    Refused {
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after_ms: Millis,
    },
}

/// What became of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// It starts now.
    Start {
        /// The request.
        id: RequestId,
    },
    /// It is given up and has not run.
    Refused {
        /// The request.
        id: RequestId,
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after_ms: Millis,
    },
}
