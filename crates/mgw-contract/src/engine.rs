//! Calls to model engines: steps of a stage, its standing, KV cache transfer and orders.
//!
//! A session at an engine is named by request and attempt. It knows the next position that it
//! expects, so that a step is run at most once: a step for an older position is refused with the
//! standing, a step past it is refused as a gap.

use bytes::Bytes;
use mgw_world::{
    AdapterName, Attempt, FenceNumber, LayerRange, Millis, ModelName, ModelVersion, Position,
    RequestId, TargetName,
};
use serde::{Deserialize, Serialize};

/// Path of a batch of steps: `POST`, [`StepBatch`] in, [`StepBatchReply`] out, both in postcard.
pub const STEPS_PATH: &str = "/engine/v1/steps";
/// Path of a session's standing: `GET /engine/v1/sessions/REQUEST/ATTEMPT`; `DELETE` frees it.
pub const SESSIONS_PATH: &str = "/engine/v1/sessions/";
/// Path of a session's KV cache: `GET` exports, `PUT` imports under another attempt.
pub const KV_PATH: &str = "/engine/v1/kv/";
/// Path of the engine's state: `GET` [`EngineState`] in JSON.
pub const STATE_PATH: &str = "/engine/v1/state";
/// Path of orders: `POST` [`EngineOrder`] in JSON, answered by [`OrderReply`].
pub const ORDERS_PATH: &str = "/engine/v1/orders";

/// Names a session at an engine.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{request}/{attempt}")]
pub struct SessionKey {
    /// Request that the session works for.
    pub request: RequestId,
    /// Attempt within the request.
    pub attempt: Attempt,
}

/// What goes into a stage for consecutive positions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageInput {
    /// Tokens, for the stage that holds the first layer.
    Tokens(Vec<u32>),
    /// Activations of all positions one after another, for the other stages.
    Activations(Bytes),
}

/// What comes out of a stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageOutput {
    /// Activations of all positions one after another.
    Activations(Bytes),
    /// The token that follows the last position, from the stage that holds the last layer.
    Token(u32),
}

/// One call of a stage: runs its layers on consecutive positions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageStep {
    /// Session that the step belongs to.
    pub session: SessionKey,
    /// Model version that the caller of the stage relies on.
    pub version: ModelVersion,
    /// Layers that the step runs.
    pub layers: LayerRange,
    /// First position of the step; zero opens the session.
    pub first: Position,
    /// Number of positions.
    pub count: u32,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Time left until the request's deadline.
    pub deadline_ms: Option<Millis>,
    /// Input of all positions.
    pub input: StageInput,
}

/// Steps of several requests in one message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepBatch {
    /// The steps, independent of one another.
    pub steps: Vec<StageStep>,
}

/// Why an engine refused a step. A refused step did not run.
#[derive(
    Debug, Clone, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display, derive_more::Error,
)]
pub enum StepRefusal {
    /// the session expects position {next}
    WrongPosition {
        /// Position that the session expects.
        next: Position,
    },
    /// no such session
    NoSession,
    /// the engine holds other layers or another version
    WrongLayers,
    /// the engine is full
    Full,
    /// the engine is leaving
    Leaving,
    /// the input has the wrong size
    WrongInput,
    /// the deadline has passed
    TooLate,
}

/// Result of one step.
pub type StepResult = Result<StageOutput, StepRefusal>;

/// Result of one step of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReply {
    /// Session that the step belonged to.
    pub session: SessionKey,
    /// First position of the step.
    pub first: Position,
    /// What came of it.
    pub result: StepResult,
}

/// Results of a batch, in the order of its steps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepBatchReply {
    /// One reply for each step.
    pub replies: Vec<StepReply>,
}

/// Where a session stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionStanding {
    /// Next position that the session expects; all before it ran exactly once.
    pub next: Position,
    /// Whether a step is running right now.
    pub running: bool,
}

/// An exported KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImage {
    /// Layers covered.
    pub layers: LayerRange,
    /// Version of the weights that made it.
    pub version: ModelVersion,
    /// Next position that a session made from it expects.
    pub next: Position,
    /// The cache itself.
    pub bytes: Bytes,
}

/// An order to an engine: the state that it shall have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Engine that the order is meant for.
    pub target: TargetName,
    /// Fencing number; an engine that checks it refuses lower numbers than it has seen.
    pub fence: FenceNumber,
    /// Number of the order under this fencing number.
    pub sequence: u64,
    /// Model to hold.
    pub model: ModelName,
    /// Version to hold.
    pub version: ModelVersion,
    /// Adapter to hold.
    pub adapter: Option<AdapterName>,
    /// Layers to hold.
    pub layers: LayerRange,
}

/// Answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The engine takes the order and is loading.
    Accepted,
    /// The engine is in that state already.
    Unchanged,
    /// The fencing number is older than the newest seen.
    Fenced {
        /// Newest number seen.
        newest: FenceNumber,
    },
}

/// What an engine says that it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Engine that answers.
    pub target: TargetName,
    /// Newest fencing number seen; none from an engine that ignores the number.
    pub fence: Option<FenceNumber>,
    /// Model held.
    pub model: ModelName,
    /// Version held.
    pub version: ModelVersion,
    /// Adapter held.
    pub adapter: Option<AdapterName>,
    /// Layers held.
    pub layers: LayerRange,
    /// Whether a load is running.
    pub loading: bool,
}
