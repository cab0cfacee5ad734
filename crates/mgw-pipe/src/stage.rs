//! One stage of a pipeline: its target, its session and what it is doing.

use std::net::SocketAddr;

use mgw_contract::engine::{KvImage, SessionKey, StageStep};
use mgw_world::{Attempt, LayerRange, Millis, ModelVersion, RequestId, TargetName};

use crate::CallId;
use crate::buffer::ActivationBuffer;
use crate::replace::ReplaceCause;

/// A target chosen for a range of layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stage {
    /// The target.
    pub target: TargetName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Layers that it runs.
    pub layers: LayerRange,
    /// Version of the weights.
    pub version: ModelVersion,
}

/// What a stage is doing.
#[derive(Debug, Clone)]
pub enum Phase {
    /// Nothing; it waits for inputs.
    Idle,
    /// A step is out.
    Stepping {
        call: CallId,
        step: StageStep,
        deadline_ms: Millis,
        extended: bool,
    },
    /// The target was asked where the session stands; `step` may still be answered if it is live.
    Asking {
        ask: CallId,
        deadline_ms: Millis,
        step_call: CallId,
        step: StageStep,
        live: bool,
    },
    /// Targets that take over are looked for.
    Replacing {
        call: Option<CallId>,
        again_ms: Millis,
        until_ms: Millis,
        cause: ReplaceCause,
    },
    /// The KV cache is exported from the former target.
    Exporting {
        call: CallId,
        deadline_ms: Millis,
        former: Stage,
        former_session: SessionKey,
    },
    /// The KV cache is imported into the new target.
    Importing {
        call: CallId,
        deadline_ms: Millis,
        image_next: u32,
    },
}

/// One stage and its progress.
#[derive(Debug, Clone)]
pub struct StageRun {
    pub stage: Stage,
    pub attempt: Attempt,
    /// Whether the session may exist at the target.
    pub opened: bool,
    /// Positions that ran in this attempt.
    pub computed: u32,
    /// Outputs that were handed to the next stage, or taken as tokens, in any attempt.
    pub delivered: u32,
    /// Inputs; unused for the first stage, whose inputs are the tokens.
    pub inputs: ActivationBuffer,
    pub phase: Phase,
    /// When the stage was lost, until a step runs again.
    pub lost_since: Option<Millis>,
}

impl StageRun {
    pub fn new(stage: Stage, attempt: Attempt) -> Self {
        Self {
            stage,
            attempt,
            opened: false,
            computed: 0,
            delivered: 0,
            inputs: ActivationBuffer::default(),
            phase: Phase::Idle,
            lost_since: None,
        }
    }

    pub const fn session(&self, request: RequestId) -> SessionKey {
        SessionKey {
            request,
            attempt: self.attempt,
        }
    }

    /// The next moment at which time alone changes something.
    pub const fn wakeup_ms(&self) -> Option<Millis> {
        match &self.phase {
            Phase::Idle => None,
            Phase::Stepping { deadline_ms, .. }
            | Phase::Asking { deadline_ms, .. }
            | Phase::Exporting { deadline_ms, .. }
            | Phase::Importing { deadline_ms, .. } => Some(*deadline_ms),
            Phase::Replacing { again_ms, .. } => Some(*again_ms),
        }
    }

    /// Whether an answer to this call is awaited.
    pub fn awaits(&self, call: CallId) -> bool {
        match &self.phase {
            Phase::Idle => false,
            Phase::Stepping { call: awaited, .. }
            | Phase::Exporting { call: awaited, .. }
            | Phase::Importing { call: awaited, .. } => *awaited == call,
            Phase::Asking {
                ask,
                step_call,
                live,
                ..
            } => *ask == call || (*live && *step_call == call),
            Phase::Replacing { call: awaited, .. } => *awaited == Some(call),
        }
    }

    /// Whether a step is out whose fate is not known.
    pub const fn has_open_step(&self) -> bool {
        matches!(self.phase, Phase::Stepping { .. } | Phase::Asking { .. })
    }
}

/// Whether an exported cache belongs to a stage, holds no position whose output was lost, and
/// leads up to inputs that are held.
pub fn is_usable_image(image: &KvImage, run: &StageRun, received: u32, kept_from: u32) -> bool {
    let next = image.next.0;
    image.layers == run.stage.layers
        && image.version == run.stage.version
        && next <= run.delivered
        && (kept_from..=received).contains(&next)
}
