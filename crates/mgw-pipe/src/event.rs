//! Inputs (events) and outputs (actions) of a pipeline.

use mgw_contract::caller::{Outcome, Reason};
use mgw_contract::engine::{
    KvImage, SessionKey, SessionStanding, StageOutput, StageStep, StepRefusal,
};
use mgw_world::{LayerRange, Millis, TargetName};

use crate::{ReplaceCause, Stage};

/// Identifies a call that a pipeline asked for; an answer to a call that it abandoned is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct CallId(pub u64);

/// Returns the timeout of a step, given its target and its number of positions.
pub type StepTimeout<'a> = &'a dyn Fn(&TargetName, u32) -> Millis;

/// An input of a pipeline: the result of a call, or a change that concerns its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A step waited in this process before it was sent, or still waits; its timeout starts when
    /// it is sent.
    StepQueued {
        /// Identifies the call.
        call: CallId,
        /// When it was sent; `None` while it still waits.
        sent_at: Option<Millis>,
    },
    /// A step ran and was answered.
    StepDone {
        /// Identifies the call.
        call: CallId,
        /// Activations for the next stage, or a token.
        output: StageOutput,
    },
    /// A step was refused and did not run.
    StepRefused {
        /// Identifies the call.
        call: CallId,
        /// Why the engine refused it.
        refusal: StepRefusal,
    },
    /// A step failed without an answer.
    StepFailed {
        /// Identifies the call.
        call: CallId,
        /// Whether any byte of the step may have reached the target.
        sent: bool,
    },
    /// The answer to a query for the state of a session.
    SessionStatus {
        /// Identifies the call.
        call: CallId,
        /// The state of the session; `None` if the engine has no such session.
        status: Option<SessionStanding>,
    },
    /// The KV cache of a session was exported.
    Exported {
        /// Identifies the call.
        call: CallId,
        /// KV cache of the session.
        image: KvImage,
    },
    /// A KV cache was imported as a new session.
    Imported {
        /// Identifies the call.
        call: CallId,
    },
    /// A session query, an export or an import got no usable answer.
    CallFailed {
        /// Identifies the call.
        call: CallId,
    },
    /// The result of a search for targets that take over one of the requested layer spans.
    Replacement {
        /// Identifies the call.
        call: CallId,
        /// Stages that cover one of the spans; empty if no target is available now.
        stages: Vec<Stage>,
    },
    /// A target is leaving or became much slower; its stages are to move to other targets.
    TargetDegraded {
        /// Target whose stages are to move.
        target: TargetName,
    },
    /// The caller disconnected or the entry is shutting down.
    Cancelled {
        /// Why the request ends.
        reason: Reason,
    },
}

/// An operation that a pipeline asks its driver to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a step.
    Step {
        /// Identifies the call.
        call: CallId,
        /// Target and its address.
        stage: Stage,
        /// Layers and input that the target runs.
        step: StageStep,
    },
    /// Ask a target for the state of a session.
    QuerySession {
        /// Identifies the call.
        call: CallId,
        /// Target and its address.
        stage: Stage,
        /// Session whose state is asked for.
        session: SessionKey,
    },
    /// Export a session's KV cache.
    Export {
        /// Identifies the call.
        call: CallId,
        /// Target and its address.
        stage: Stage,
        /// Session whose KV cache is exported.
        session: SessionKey,
    },
    /// Import a KV cache as a new session.
    Import {
        /// Identifies the call.
        call: CallId,
        /// Target and its address.
        stage: Stage,
        /// Session that is to be opened.
        session: SessionKey,
        /// KV cache to import.
        image: KvImage,
    },
    /// Free a session; the pipeline doesn't wait for an answer.
    FreeSession {
        /// Target and its address.
        stage: Stage,
        /// Session to free.
        session: SessionKey,
    },
    /// Search for targets that take over a stage, alone or with its neighbours.
    FindReplacement {
        /// Identifies the call.
        call: CallId,
        /// Stage to be replaced.
        old: Stage,
        /// Layer ranges of whole stages that include the replaced one, in order of preference;
        /// the first that can be covered is chosen.
        spans: Vec<LayerRange>,
        /// Targets that failed this request and must not be chosen.
        excluded: Vec<TargetName>,
        /// Why the stage is replaced.
        cause: ReplaceCause,
    },
    /// Send a token to the caller.
    EmitToken {
        /// Index of the token in the answer, from zero.
        index: u32,
        /// Id of the token in the model's vocabulary.
        token: u32,
    },
    /// End the request with its final status.
    Finish {
        /// Whether the request completed, did not run, or may have run.
        outcome: Outcome,
        /// Why it ended.
        reason: Reason,
    },
}
