//! Interface to the adapter, which reads and writes the header fields of requests and answers.

use std::net::SocketAddr;

use hyper::{HeaderMap, StatusCode};
use mgw_contract::target::ReportCall;
use mgw_route::{Hop, RequestRate};
use mgw_routing::DecodeRouting;
use mgw_world::{Millis, PromptPart, TargetName, WorkspaceName};

/// Values that an adapter reads from the header fields of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Id of this attempt of the caller.
    pub id: String,
    /// How long the caller waits for the answer.
    pub deadline_ms: Option<Millis>,
    /// Key of the caller's workspace.
    pub key: Option<String>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: Option<u32>,
    /// Largest number of tokens that the answer may have.
    pub max_answer_tokens: Option<u32>,
    /// The caller's estimate of the answer's length in tokens.
    pub expected_answer_tokens: Option<u32>,
    /// Parts of the prompt that other requests may hold as well, in order. The last part of a prompt is
    /// the request's own and isn't listed.
    pub shared_parts: Vec<PromptPart>,
    /// Number of the last event that the caller received of an earlier answer, to resume after it.
    pub last_event: Option<u64>,
}

/// Values that an adapter writes into the header fields of a request to a target.
#[derive(Debug, Clone, Copy)]
pub struct TargetHead<'a> {
    /// How long the relay waits for the answer.
    pub time_left_ms: Millis,
    /// The target that the request is for; any other one refuses it.
    pub target: &'a TargetName,
    /// Workspace of the caller.
    pub workspace: Option<&'a WorkspaceName>,
    /// Targets that forward the request in turn; empty when this target answers alone.
    pub chain: &'a [Hop],
    /// Rank, where 0 is the most urgent; at most 9.
    pub urgency: u8,
    /// Number of the event after which the answer is to resume.
    pub last_event: Option<u64>,
}

/// Values that an adapter reads from the status and the header fields of a target's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Id of the request that is answered.
    pub id: Option<String>,
    /// Whether the answer carries a seal of the target; a success without one isn't taken as the target's
    /// answer. Says nothing of whether the seal is valid. Always set in a wire format without seals.
    pub is_signed: bool,
    /// Whether the target states that it didn't run the request.
    pub not_run: bool,
    /// Address of the target on the chain that caused a failure.
    pub at_fault: Option<SocketAddr>,
    /// Whether the target that answered states that it is leaving.
    pub is_leaving: bool,
    /// How long the target that answered wants no further requests from this process.
    pub pause: RequestedPause,
    /// How many requests the target that answered takes from all entries together.
    pub rate_limit: StatedLimit,
}

impl AnswerHead {
    /// Whether the target at fault refused the request because it had no room for it, as far as the
    /// answer tells: a target that is leaving or wants a pause says so.
    #[must_use]
    pub fn refuses_for_room(&self, status: StatusCode) -> bool {
        let is_refusal = self.not_run && status == StatusCode::SERVICE_UNAVAILABLE;
        is_refusal && !self.is_leaving && self.pause == RequestedPause::None
    }
}

/// What an answer tells of the rate limit of the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// Nothing; the answer may come from another target.
    #[default]
    Unknown,
    /// The target has no limit.
    None,
    /// The target takes so many requests.
    Rate(RequestRate),
    /// The target has a limit that can't be read.
    Unreadable,
}

/// How long a target that refused a request wants no further ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RequestedPause {
    /// It asks for no pause.
    #[default]
    None,
    /// It asks for a pause of this length.
    For(Millis),
    /// It asks for a pause whose length can't be read.
    Unreadable,
}

/// Functions that read and write the header fields of one wire format.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Reads the header fields of a caller's request.
    pub read_request: fn(&HeaderMap) -> CallerHead,
    /// Changes a caller's header fields to those for a target: removes the fields that callers
    /// mustn't set and adds those of the relay.
    pub write_request: fn(&mut HeaderMap, &TargetHead<'_>),
    /// Reads the status and the header fields of a target's answer.
    pub read_answer: fn(u16, &HeaderMap) -> AnswerHead,
}

/// All functions that an adapter provides to a relay.
#[derive(Debug, Clone, Copy)]
pub struct RelayAdapter {
    /// Header fields of requests and answers.
    pub dialect: Dialect,
    /// How a forwarding engine is asked for its report.
    pub report: ReportCall,
    /// Decodes a routing document.
    pub decode_routing: DecodeRouting,
}
