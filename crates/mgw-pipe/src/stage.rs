//! One stage of a pipeline: its target, its session and its state.

use std::net::SocketAddr;

use mgw_contract::engine::{KvImage, SessionKey, StageStep};
use mgw_world::{Attempt, LayerRange, Millis, ModelVersion, RequestId, TargetName};

use crate::CallId;
use crate::buffer::ActivationBuffer;
use crate::replace::ReplaceCause;

/// A range of layers and the target chosen to run it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stage {
    /// Target that runs the layers.
    pub target: TargetName,
    /// Address at which the target takes calls.
    pub address: SocketAddr,
    /// Layers that it runs.
    pub layers: LayerRange,
    /// Version of the weights.
    pub version: ModelVersion,
}

/// State of a stage: the call that it waits for, if any.
#[derive(Debug, Clone)]
pub enum Phase {
    /// No call is in flight; the stage waits for inputs.
    Idle,
    /// A step is in flight; `extended` is whether its deadline was already extended after a
    /// session query.
    Stepping {
        call: CallId,
        step: StageStep,
        deadline_ms: Millis,
        extended: bool,
    },
    /// The target was asked for the state of the session; while `step_pending`, `step` may still be
    /// answered.
    Querying {
        query_call: CallId,
        deadline_ms: Millis,
        step_call: CallId,
        step: StageStep,
        step_pending: bool,
    },
    /// A replacement of the target is searched for; `call` is the last search.
    Replacing {
        call: Option<CallId>,
        retry_at_ms: Millis,
        give_up_at_ms: Millis,
        cause: ReplaceCause,
    },
    /// The KV cache is being exported from the former target.
    Exporting {
        call: CallId,
        deadline_ms: Millis,
        former: Stage,
        former_session: SessionKey,
    },
    /// The KV cache, which ends before position `image_next`, is being imported into the new
    /// target.
    Importing {
        call: CallId,
        deadline_ms: Millis,
        image_next: u32,
    },
}

/// A stage, its session and its progress.
#[derive(Debug, Clone)]
pub struct StageRun {
    pub stage: Stage,
    pub attempt: Attempt,
    /// Whether the session may exist at the target and must be freed.
    pub may_have_session: bool,
    /// Number of positions that ran in this attempt.
    pub computed: u32,
    /// Number of positions whose outputs were passed to the next stage, or accepted as tokens, in
    /// any attempt.
    pub delivered: u32,
    /// Buffered inputs; unused for the first stage, whose inputs are the tokens.
    pub inputs: ActivationBuffer,
    pub phase: Phase,
    /// When the loss of the stage was last counted; cleared when a step has run again.
    pub lost_since: Option<Millis>,
}

impl StageRun {
    pub fn new(stage: Stage, attempt: Attempt) -> Self {
        Self {
            stage,
            attempt,
            may_have_session: false,
            computed: 0,
            delivered: 0,
            inputs: ActivationBuffer::default(),
            phase: Phase::Idle,
            lost_since: None,
        }
    }

    pub const fn session(&self, request_id: RequestId) -> SessionKey {
        SessionKey {
            request: request_id,
            attempt: self.attempt,
        }
    }

    /// When the stage must be handled next if no event comes before.
    pub const fn wakeup_ms(&self) -> Option<Millis> {
        match &self.phase {
            Phase::Idle => None,
            Phase::Stepping { deadline_ms, .. }
            | Phase::Querying { deadline_ms, .. }
            | Phase::Exporting { deadline_ms, .. }
            | Phase::Importing { deadline_ms, .. } => Some(*deadline_ms),
            Phase::Replacing { retry_at_ms, .. } => Some(*retry_at_ms),
        }
    }

    /// Whether the stage waits for the answer to this call.
    pub fn awaits(&self, call: CallId) -> bool {
        match &self.phase {
            Phase::Idle => false,
            Phase::Stepping { call: awaited, .. }
            | Phase::Exporting { call: awaited, .. }
            | Phase::Importing { call: awaited, .. } => *awaited == call,
            Phase::Querying {
                query_call,
                step_call,
                step_pending,
                ..
            } => *query_call == call || (*step_pending && *step_call == call),
            Phase::Replacing { call: awaited, .. } => *awaited == Some(call),
        }
    }

    /// Whether a step was sent of which it is not known whether it ran.
    pub const fn has_open_step(&self) -> bool {
        matches!(self.phase, Phase::Stepping { .. } | Phase::Querying { .. })
    }
}

/// Whether an exported cache fits a stage, contains no position whose output was lost, and ends
/// where the buffered inputs can continue it.
pub fn is_usable_image(image: &KvImage, run: &StageRun, received: u32, buffered_from: u32) -> bool {
    let next = image.next.0;
    image.layers == run.stage.layers
        && image.version == run.stage.version
        && next <= run.delivered
        && (buffered_from..=received).contains(&next)
}
