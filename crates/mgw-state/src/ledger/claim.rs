//! Claims: their requests, replies and states.

use mgw_contract::caller::Outcome;
use mgw_world::{
    EntryName, Incarnation, KeyName, Millis, RequestId, ServiceName, UnixMillis, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::{Digest, LedgerRules};

/// Identifies the call that a claim is for.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{workspace}/{service}/{key}")]
pub struct ClaimKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Service called.
    pub service: ServiceName,
    /// Idempotency key.
    pub key: KeyName,
}

/// One incarnation of an entry: the span from a start of its process to the next.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[display("{entry}#{incarnation}")]
pub struct ClaimantId {
    /// The entry.
    pub entry: EntryName,
    /// Number of this start; increases with each start of the entry.
    pub incarnation: Incarnation,
}

/// Requests the right to send a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Digest of the call's method, path and body.
    pub digest: Digest,
    /// Request that makes the claim.
    pub request: RequestId,
    /// Incarnation of the entry that makes the claim.
    pub claimant: ClaimantId,
}

/// The response of the service, as recorded with the outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if the response had none.
    pub content_type: String,
    /// Digest of the whole body.
    pub digest: Digest,
    /// The body; none when it is larger than [`LedgerRules::max_body_bytes`].
    pub body: Option<Vec<u8>>,
}

impl RecordedResponse {
    /// Records a response; its body only up to [`LedgerRules::max_body_bytes`].
    #[must_use]
    pub fn new(status: u16, content_type: &str, body: &[u8], rules: &LedgerRules) -> Self {
        let max_body_bytes = usize::try_from(rules.max_body_bytes).unwrap_or(usize::MAX);
        Self {
            status,
            content_type: content_type.to_owned(),
            digest: Digest::of(body),
            body: (body.len() <= max_body_bytes).then(|| body.to_vec()),
        }
    }
}

/// Reports the outcome of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Request that made the claim.
    pub request: RequestId,
    /// Incarnation of the entry that made the claim.
    pub claimant: ClaimantId,
    /// Outcome of the call; [`Outcome::Unknown`] leaves the claim for an operator to resolve.
    pub outcome: Outcome,
    /// Response of the service, if any.
    pub response: Option<RecordedResponse>,
}

/// Reply to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// This claimant may send the call, once.
    Granted,
    /// The call has ended.
    Ended {
        /// Request that ran it.
        request: RequestId,
        /// Outcome of the call.
        outcome: Outcome,
        /// Response of the service, if one was recorded.
        response: Option<RecordedResponse>,
    },
    /// Another request holds the claim.
    InProgress {
        /// Request that holds the claim.
        request: RequestId,
    },
    /// It isn't known whether the call ran; an operator has to find out and resolve the claim.
    Unknown {
        /// Request that held the claim.
        request: RequestId,
    },
    /// The key was already used with another method, path or body.
    Conflict {
        /// Request that used it first.
        request: RequestId,
    },
    /// The key is older than the window; the ledger no longer knows whether its call ran.
    Expired,
    /// The ledger holds as many claims as its rules allow.
    Full {
        /// Time until the next ended claim can be forgotten; none when there is no such claim,
        /// for example when all claims wait for an operator.
        retry_after_ms: Option<Millis>,
    },
    /// This incarnation of the entry was declared lost; the entry must claim with a new one.
    EntryLost,
}

/// Reply to an outcome report or a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordReply {
    /// The outcome was recorded or the claim released; also the reply to a resent outcome report.
    Recorded,
    /// The claim had already become unknown; only an operator can resolve it.
    Unknown,
    /// An outcome was recorded before and stays.
    AlreadyEnded {
        /// The recorded outcome.
        outcome: Outcome,
    },
    /// The claim is held by another request or entry.
    NotHolder,
    /// There is no such claim.
    NoClaim,
}

/// Reply to an operator who resolves a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResolveReply {
    /// The claim has ended with this outcome.
    Resolved {
        /// The outcome.
        outcome: Outcome,
    },
    /// The claim isn't unknown but in progress: an entry holds it.
    InProgress,
    /// The claim had ended with another outcome, which stays.
    AlreadyEnded {
        /// The recorded outcome.
        outcome: Outcome,
    },
    /// There is no such claim.
    NoClaim,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ClaimState {
    /// An entry that wasn't declared lost holds the claim.
    InProgress,
    /// The entry was declared lost, or reported that it doesn't know the outcome.
    Unknown {
        /// First outcome that the entry reported after the claim had become unknown.
        late_report: Option<Outcome>,
    },
    /// The outcome is known.
    Ended {
        /// When the outcome was recorded.
        at: UnixMillis,
        /// Outcome of the call.
        outcome: Outcome,
        /// Response of the service, if one was recorded.
        response: Option<Box<RecordedResponse>>,
    },
}

/// A claim as stored in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Claim {
    pub digest: Digest,
    pub request: RequestId,
    pub claimant: ClaimantId,
    pub claimed_at: UnixMillis,
    pub state: ClaimState,
}
