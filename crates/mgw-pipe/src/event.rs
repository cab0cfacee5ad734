//! What a pipeline hears and what it asks its shell to do.

use mgw_contract::caller::{Outcome, Reason};
use mgw_contract::engine::{
    KvImage, SessionKey, SessionStanding, StageOutput, StageStep, StepRefusal,
};
use mgw_world::{LayerRange, Millis, TargetName};

use crate::{ReplaceCause, Stage};

/// Names a call that a pipeline asked for; an answer to a call that it has given up is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct CallId(pub u64);

/// Gives the time that a step of some positions may take at a target.
pub type StepTimeout<'a> = &'a dyn Fn(&TargetName, u32) -> Millis;

/// What a pipeline hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A step waits in this process, or waited until it was sent; its time runs from the sending on.
    StepQueued {
        /// The call.
        call: CallId,
        /// When it was sent; none while it still waits.
        sent_at: Option<Millis>,
    },
    /// A step ran.
    StepDone {
        /// The call.
        call: CallId,
        /// What came out.
        output: StageOutput,
    },
    /// A step was refused and did not run.
    StepRefused {
        /// The call.
        call: CallId,
        /// Why.
        refusal: StepRefusal,
    },
    /// A step got no answer.
    StepFailed {
        /// The call.
        call: CallId,
        /// Whether any byte of it may have reached the target.
        sent: bool,
    },
    /// A session's standing, none if there is no such session.
    SessionStatus {
        /// The call.
        call: CallId,
        /// Where it stands.
        status: Option<SessionStanding>,
    },
    /// A KV cache was exported.
    Exported {
        /// The call.
        call: CallId,
        /// The cache.
        image: KvImage,
    },
    /// A KV cache was imported.
    Imported {
        /// The call.
        call: CallId,
    },
    /// A question, an export or an import got no usable answer.
    CallFailed {
        /// The call.
        call: CallId,
    },
    /// Targets that take over one of the spans asked for; none if there are none now.
    Replacement {
        /// The call.
        call: CallId,
        /// Stages that cover one of the spans.
        stages: Vec<Stage>,
    },
    /// A target is leaving or became much slower; its stages move away.
    TargetDegraded {
        /// The target.
        target: TargetName,
    },
    /// The caller went away or the entry must end.
    Cancelled {
        /// Why.
        reason: Reason,
    },
}

/// What a pipeline asks its shell to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a step.
    Step {
        /// The call.
        call: CallId,
        /// Target and its address.
        stage: Stage,
        /// The step.
        step: StageStep,
    },
    /// Ask a target where a session stands.
    QuerySession {
        /// The call.
        call: CallId,
        /// Target and its address.
        stage: Stage,
        /// The session.
        session: SessionKey,
    },
    /// Export a session's KV cache.
    Export {
        /// The call.
        call: CallId,
        /// Target and its address.
        stage: Stage,
        /// The session.
        session: SessionKey,
    },
    /// Import a KV cache as a new session.
    Import {
        /// The call.
        call: CallId,
        /// Target and its address.
        stage: Stage,
        /// The new session.
        session: SessionKey,
        /// The cache.
        image: KvImage,
    },
    /// Free a session; no answer is awaited.
    FreeSession {
        /// Target and its address.
        stage: Stage,
        /// The session.
        session: SessionKey,
    },
    /// Look for targets that take over a stage, alone or with its neighbours.
    FindReplacement {
        /// The call.
        call: CallId,
        /// Stage that is given up.
        old: Stage,
        /// Ranges of whole stages, the stage given up among them; the first that can be covered
        /// is taken.
        spans: Vec<LayerRange>,
        /// Targets that failed this request.
        excluded: Vec<TargetName>,
        /// Why the stage moves.
        cause: ReplaceCause,
    },
    /// Hand a token to the caller.
    EmitToken {
        /// Index within the answer, from zero.
        index: u32,
        /// The token.
        token: u32,
    },
    /// Give the final answer.
    Finish {
        /// What became of the request.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
}
