//! Calls that callers make to entries: the list of entry addresses, completions, calls to plain
//! services, and the final answer that ends every request.

use mgw_world::{EntryName, Millis, ModelName, RequestId, WorkspaceName};
use serde::{Deserialize, Serialize};

/// Path of the address call: `GET`, answered by [`AddressesReply`].
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// Path of the completion call: `POST` [`CompletionRequest`], answered by [`CompletionReply`] or by
/// a stream of [`CompletionChunk`] and a [`FinalAnswer`].
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path prefix of calls that are passed through to a plain service: `/v1/services/NAME/REST`.
pub const SERVICES_PATH: &str = "/v1/services/";
/// Header with the name of the caller's workspace.
pub const WORKSPACE_HEADER: &str = "x-mgw-workspace";
/// Header of the address call with the name of the zone in which the caller runs.
pub const PLACE_HEADER: &str = "x-mgw-place";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the request id, on every answer.
pub const REQUEST_ID_HEADER: &str = "x-mgw-request-id";
/// Header with the outcome of a call to a plain service.
pub const OUTCOME_HEADER: &str = "x-mgw-outcome";
/// Data of the last event of a complete event stream; it follows the final answer.
pub const STREAM_END: &str = "[DONE]";

/// Whether a request was run.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and its answer is complete.
    #[display("done")]
    Done,
    /// The request did not run for certain; it is safe to send it again.
    #[display("not_run")]
    NotRun,
    /// The request may have run; its outcome is not known.
    #[display("unknown")]
    Unknown,
}

/// An entry that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Name of the entry.
    pub name: EntryName,
    /// Base URL, such as `http://127.0.0.1:7001`.
    pub url: String,
}

/// Answer to the address call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressesReply {
    /// Entries that the caller may use, most preferred first.
    pub entries: Vec<EntryAddress>,
    /// How long the caller may cache this answer.
    pub valid_ms: Millis,
}

/// A completion request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// Model to use.
    pub model: ModelName,
    /// Text to complete.
    pub prompt: String,
    /// Largest number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Workspace of the caller; [`WORKSPACE_HEADER`] takes precedence over it.
    #[serde(default)]
    pub workspace: Option<WorkspaceName>,
    /// How long the caller waits for the complete answer.
    #[serde(default)]
    pub deadline_ms: Option<Millis>,
}

const DEFAULT_MAX_TOKENS: u32 = 64;

const fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// One generated token in a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// Request that the token belongs to.
    pub id: RequestId,
    /// Index of the token within the answer, from zero.
    pub index: u32,
    /// Text of the token.
    pub text: String,
    /// Number of the token in the vocabulary.
    pub token: u32,
}

/// Why a request has its outcome.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// All requested tokens were generated.
    Complete,
    /// The request is invalid.
    BadRequest,
    /// No chain of available targets covers all layers of the model.
    NoPath,
    /// A limit of the system or of the workspace was reached.
    Overloaded,
    /// The deadline has passed or can't be met.
    Deadline,
    /// The entry is leaving.
    Leaving,
    /// The entry can't get the state that the call needs: it can't reach a quorum of the controls,
    /// or it is starting and its view or configuration is incomplete.
    NoQuorum,
    /// A target failed and the request could not be moved to another target.
    TargetFailed,
    /// The idempotency key was already used with a different body.
    KeyConflict,
    /// An earlier call with this idempotency key is still running.
    InProgress,
    /// The idempotency key is older than the period for which keys are stored.
    KeyExpired,
    /// The caller closed its connection.
    Cancelled,
    /// The caller read the answer too slowly.
    SlowReader,
}

/// Final result of a request, the last message that the caller gets about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalAnswer {
    /// Id of the request.
    pub id: RequestId,
    /// Whether the request was run.
    pub outcome: Outcome,
    /// Reason for the outcome.
    pub reason: Reason,
    /// Human-readable explanation.
    pub message: String,
    /// Number of tokens in the answer.
    pub tokens: u32,
    /// How long to wait before a retry; none when a retry makes no sense.
    pub retry_after_ms: Option<Millis>,
    /// Entries to which the caller may send the retry.
    pub retry_at: Vec<EntryAddress>,
}

/// Answer to a completion request without streaming.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionReply {
    /// Generated text.
    pub text: String,
    /// Generated tokens.
    pub tokens: Vec<u32>,
    /// Final result of the request.
    pub answer: FinalAnswer,
}
