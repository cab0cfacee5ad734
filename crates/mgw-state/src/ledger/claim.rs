//! Messages of the ledger.

use mgw_contract::caller::Outcome;
use mgw_world::{
    EntryName, Incarnation, KeyName, Millis, RequestId, ServiceName, UnixMillis, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::{Digest, LedgerRules};

/// What a claim is for.
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

/// One life of an entry.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[display("{entry}#{incarnation}")]
pub struct ClaimantId {
    /// The entry.
    pub entry: EntryName,
    /// Grows at each start of the entry.
    pub incarnation: Incarnation,
}

/// Asks for the right to run a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// What the claim is for.
    pub key: ClaimKey,
    /// Digest of method, path and body.
    pub digest: Digest,
    /// Request that claims.
    pub request: RequestId,
    /// Entry that claims.
    pub claimant: ClaimantId,
}

/// The answer of the service, as kept with the outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if none.
    pub content_type: String,
    /// Digest of the whole body.
    pub digest: Digest,
    /// The body; none when it is larger than [`LedgerRules::max_body_bytes`].
    pub body: Option<Vec<u8>>,
}

impl RecordedResponse {
    /// Keeps the body if it fits the rules.
    #[must_use]
    pub fn new(status: u16, content_type: &str, body: &[u8], rules: &LedgerRules) -> Self {
        let limit = usize::try_from(rules.max_body_bytes).unwrap_or(usize::MAX);
        Self {
            status,
            content_type: content_type.to_owned(),
            digest: Digest::of(body),
            body: (body.len() <= limit).then(|| body.to_vec()),
        }
    }
}

/// Records what came of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// What the claim is for.
    pub key: ClaimKey,
    /// Request that claimed.
    pub request: RequestId,
    /// Entry that claimed.
    pub claimant: ClaimantId,
    /// What came of it; [`Outcome::Unknown`] leaves the claim to an operator.
    pub outcome: Outcome,
    /// Answer of the service, if any.
    pub response: Option<RecordedResponse>,
}

/// Answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The call may be sent, once, by this claimant.
    Granted,
    /// The call has ended.
    Ended {
        /// Request that ran it.
        request: RequestId,
        /// What came of it.
        outcome: Outcome,
        /// Answer of the service, if one was recorded.
        response: Option<RecordedResponse>,
    },
    /// Another request holds the claim.
    InProgress {
        /// That request.
        request: RequestId,
    },
    /// It isn't known whether the call ran; an operator has to find out.
    Unknown {
        /// Request that held the claim.
        request: RequestId,
    },
    /// The key was used with another body.
    Conflict {
        /// Request that used it first.
        request: RequestId,
    },
    /// The key is older than the window; whether it ran isn't kept any more.
    Expired,
    /// No more claims can be held.
    Full {
        /// When the next ended claim leaves the window; none when all wait for an operator.
        retry_after_ms: Option<Millis>,
    },
    /// This incarnation of the entry was declared lost; it must take a new one.
    EntryLost,
}

/// Answer to an outcome or a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordReply {
    /// Done; also the answer to a resend.
    Recorded,
    /// The claim had become unknown before; only an operator resolves it.
    Unknown,
    /// Another outcome was recorded before; that one stands.
    AlreadyEnded {
        /// The outcome that stands.
        outcome: Outcome,
    },
    /// The claim is held by another request or entry.
    NotHolder,
    /// There is no such claim.
    NoClaim,
}

/// Answer to an operator's word on a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResolveReply {
    /// The claim has ended with this outcome.
    Resolved {
        /// The outcome.
        outcome: Outcome,
    },
    /// The claim isn't unknown: an entry holds it.
    InProgress,
    /// The claim had ended otherwise; that outcome stands.
    AlreadyEnded {
        /// The outcome that stands.
        outcome: Outcome,
    },
    /// There is no such claim.
    NoClaim,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ClaimState {
    /// An entry that lives holds it.
    InProgress,
    /// The entry was lost, or reported that it doesn't know.
    Unknown {
        /// What the entry reported after it had been declared lost.
        late_report: Option<Outcome>,
    },
    /// It has ended.
    Ended {
        /// When the outcome was recorded.
        at: UnixMillis,
        /// What came of it.
        outcome: Outcome,
        /// Answer of the service.
        response: Option<Box<RecordedResponse>>,
    },
}

/// A claim as the ledger holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Claim {
    pub digest: Digest,
    pub request: RequestId,
    pub claimant: ClaimantId,
    pub claimed_at: UnixMillis,
    pub state: ClaimState,
}
