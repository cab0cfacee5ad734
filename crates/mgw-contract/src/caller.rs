//! Calls of callers: addresses, completions and the final answer to every request.

use mgw_world::{EntryName, Millis, ModelName, RequestId, WorkspaceName};
use serde::{Deserialize, Serialize};

/// Path of the address call.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// Path of the completion call.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path prefix of calls that are passed through to a plain service: `/v1/services/NAME/REST`.
pub const SERVICES_PATH: &str = "/v1/services/";
/// Header naming the caller's workspace.
pub const WORKSPACE_HEADER: &str = "x-mgw-workspace";
/// Header naming the zone that the caller stands in, on the address call.
pub const PLACE_HEADER: &str = "x-mgw-place";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the request id, on every answer.
pub const REQUEST_ID_HEADER: &str = "x-mgw-request-id";
/// Header with the outcome of a call to a plain service.
pub const OUTCOME_HEADER: &str = "x-mgw-outcome";
/// Last event of a complete event stream, after the final answer.
pub const STREAM_END: &str = "[DONE]";

/// What became of a request.
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
    /// It ran and the answer is whole.
    #[display("done")]
    Done,
    /// It certainly didn't run; sending it again is safe.
    #[display("not_run")]
    NotRun,
    /// It may have run.
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
    /// Entries to use, best first.
    pub entries: Vec<EntryAddress>,
    /// How long the answer may be kept.
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
    /// Most tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Workspace; the header goes before it.
    #[serde(default)]
    pub workspace: Option<WorkspaceName>,
    /// How long the caller waits for the whole answer.
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
    /// The token itself.
    pub token: u32,
}

/// Why a request ended as it did.
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
    /// Every token asked for was generated.
    Complete,
    /// The request itself is wrong.
    BadRequest,
    /// No chain of targets covers the model.
    NoPath,
    /// The limits of the system or of the workspace are reached.
    Overloaded,
    /// The deadline can't be met.
    Deadline,
    /// The entry is leaving.
    Leaving,
    /// The entry can't reach the state that the call needs.
    NoQuorum,
    /// A target failed and the request could not be moved.
    TargetFailed,
    /// The same idempotency key was used with another body.
    KeyConflict,
    /// A call with this idempotency key is still running.
    InProgress,
    /// The idempotency key is older than the window in which keys are kept.
    KeyExpired,
    /// The caller went away.
    Cancelled,
    /// The caller read too slowly.
    SlowReader,
}

/// The last thing that a caller hears about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalAnswer {
    /// The request.
    pub id: RequestId,
    /// What became of it.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// Text for people.
    pub message: String,
    /// Tokens that the answer holds.
    pub tokens: u32,
    /// When to come back, if that is of use.
    pub retry_after_ms: Option<Millis>,
    /// Where to come back.
    pub retry_at: Vec<EntryAddress>,
}

/// Answer to a completion request that isn't streamed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionReply {
    /// Text generated.
    pub text: String,
    /// Tokens generated.
    pub tokens: Vec<u32>,
    /// What became of the request.
    pub answer: FinalAnswer,
}
