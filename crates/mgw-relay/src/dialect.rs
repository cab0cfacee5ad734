//! What an adapter reads from and writes to the heads of requests and answers.

use std::net::SocketAddr;

use hyper::HeaderMap;
use mgw_contract::target::ReportCall;
use mgw_route::Hop;
use mgw_routing::DecodeRouting;
use mgw_world::{Millis, TargetName, WorkspaceName};

/// What a caller's request says of itself beside method, path and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Identity of this attempt of the caller.
    pub id: String,
    /// How long the caller waits.
    pub deadline_ms: Option<Millis>,
    /// Key of the caller's workspace.
    pub key: Option<String>,
    /// Length of the prompt.
    pub prompt_tokens: Option<u32>,
    /// Most tokens that the answer may have.
    pub max_answer_tokens: Option<u32>,
    /// The caller's estimate of the answer's length.
    pub expected_answer_tokens: Option<u32>,
    /// Number of the last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
}

/// What the relay tells a target beside the caller's own head.
#[derive(Debug, Clone, Copy)]
pub struct TargetHead<'a> {
    /// How long an answer is waited for.
    pub time_left_ms: Millis,
    /// The target that is meant; any other one refuses the request.
    pub target: &'a TargetName,
    /// Workspace of the caller.
    pub workspace: Option<&'a WorkspaceName>,
    /// Targets that the request passes through; empty when this target answers alone.
    pub chain: &'a [Hop],
    /// Rank, where 0 is the most urgent; at most 9.
    pub urgency: u8,
    /// Number of the event after which the answer shall go on.
    pub last_event: Option<u64>,
}

/// What a target's answer says of itself beside status and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it answers.
    pub id: Option<String>,
    /// Whether the target states that it didn't run the request.
    pub not_run: bool,
    /// Address of the target on the chain that is to blame.
    pub at_fault: Option<SocketAddr>,
}

/// Functions for the heads of one wire format.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Reads the head of a caller's request.
    pub read_request: fn(&HeaderMap) -> CallerHead,
    /// Turns a caller's head into one for a target: takes out what callers mustn't set and puts
    /// the relay's own fields in.
    pub write_request: fn(&mut HeaderMap, &TargetHead<'_>),
    /// Reads the head of a target's answer.
    pub read_answer: fn(u16, &HeaderMap) -> AnswerHead,
}

/// Everything that an adapter brings.
#[derive(Debug, Clone, Copy)]
pub struct RelayAdapter {
    /// Heads of requests and answers.
    pub dialect: Dialect,
    /// Questions to forwarding engines.
    pub report: ReportCall,
    /// Reads a routing document.
    pub decode_routing: DecodeRouting,
}
