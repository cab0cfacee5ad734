//! Calls to model engines: steps of a stage, progress of a session, KV cache transfer and orders.
//!
//! A session at an engine is identified by request and attempt. It stores the next position that it
//! expects, so that each step runs at most once: a step that starts at an older position, or at a
//! later one and so would leave a gap, is refused with [`StepRefusal::WrongPosition`], which holds
//! the expected position.

use bytes::Bytes;
use mgw_world::{
    AdapterName, Attempt, FenceNumber, LayerRange, Millis, ModelName, ModelVersion, Position,
    RequestId, TargetName,
};
use serde::{Deserialize, Serialize};

/// Path of a batch of steps: `POST` [`StepBatch`], answered by [`StepBatchReply`]; both are encoded
/// with postcard.
pub const STEPS_PATH: &str = "/engine/v1/steps";
/// Path of a session: `GET /engine/v1/sessions/REQUEST/ATTEMPT` is answered by [`SessionStanding`];
/// `DELETE` with the same path frees the session.
pub const SESSIONS_PATH: &str = "/engine/v1/sessions/";
/// Path of a session's KV cache: `GET` exports it, `PUT` imports it into another attempt.
pub const KV_PATH: &str = "/engine/v1/kv/";
/// Path of the engine's state: `GET`, answered by [`EngineState`] in JSON.
pub const STATE_PATH: &str = "/engine/v1/state";
/// Path of orders: `POST` [`EngineOrder`] in JSON, answered by [`OrderReply`].
pub const ORDERS_PATH: &str = "/engine/v1/orders";

/// Identifies a session at an engine.
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
    /// Request that the session belongs to.
    pub request: RequestId,
    /// Attempt within the request.
    pub attempt: Attempt,
}

/// Input of a stage for consecutive positions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageInput {
    /// Tokens, for the stage that holds the first layer.
    Tokens(Vec<u32>),
    /// Concatenated activations of all positions, for the other stages.
    Activations(Bytes),
}

/// Output of a stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageOutput {
    /// Concatenated activations of all positions.
    Activations(Bytes),
    /// The token that follows the last position, from the stage that holds the last layer.
    Token(u32),
}

/// One step of a stage, which runs its layers on consecutive positions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageStep {
    /// Session that the step belongs to.
    pub session: SessionKey,
    /// Model version that the entry expects at the engine.
    pub version: ModelVersion,
    /// Layers that the step runs.
    pub layers: LayerRange,
    /// First position of the step; a step with position zero opens the session.
    pub first: Position,
    /// Number of positions.
    pub count: u32,
    /// Priority; steps with a higher value run first.
    pub priority: u8,
    /// Time that is left until the request's deadline, if it has one.
    pub deadline_ms: Option<Millis>,
    /// Input of all positions.
    pub input: StageInput,
}

/// Steps of several requests in one message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepBatch {
    /// The steps; they are independent of each other.
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
    /// the engine has no such session
    NoSession,
    /// the engine holds other layers or another model version
    WrongLayers,
    /// the engine has no free session or KV cache memory for the step
    Full,
    /// the engine is leaving
    Leaving,
    /// the kind or size of the input doesn't match the step
    WrongInput,
    /// the request's deadline has passed
    TooLate,
}

/// Output of one step, or the reason for its refusal.
pub type StepResult = Result<StageOutput, StepRefusal>;

/// Result of one step of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReply {
    /// Session that the step belonged to.
    pub session: SessionKey,
    /// First position of the step.
    pub first: Position,
    /// Result of the step.
    pub result: StepResult,
}

/// Results of a batch, in the order of its steps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepBatchReply {
    /// One reply per step.
    pub replies: Vec<StepReply>,
}

/// Progress of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionStanding {
    /// Next position that the session expects; each position before it ran exactly once.
    pub next: Position,
    /// Whether a step of the session is running.
    pub running: bool,
}

/// An exported KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImage {
    /// Layers whose KV cache it contains.
    pub layers: LayerRange,
    /// Version of the weights with which the cache was computed.
    pub version: ModelVersion,
    /// Next position that a session expects after importing it.
    pub next: Position,
    /// Content of the cache.
    pub bytes: Bytes,
}

/// An order to an engine: the model, adapter and layers that it shall hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Name of the engine to which the order is addressed.
    pub target: TargetName,
    /// Fencing number. An engine that checks fencing numbers refuses an order whose number is lower
    /// than the highest that it has received.
    pub fence: FenceNumber,
    /// Sequence number of the order among those with the same fencing number.
    pub sequence: u64,
    /// Model that the engine shall hold.
    pub model: ModelName,
    /// Version of the model that it shall hold.
    pub version: ModelVersion,
    /// Adapter that it shall hold, if any.
    pub adapter: Option<AdapterName>,
    /// Layers that it shall hold.
    pub layers: LayerRange,
}

/// Answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The engine accepted the order and is loading.
    Accepted,
    /// The engine is already in the ordered state.
    Unchanged,
    /// The order was refused: its fencing number is lower than the highest that the engine has
    /// received.
    Fenced {
        /// Highest fencing number received.
        newest: FenceNumber,
    },
}

/// State that an engine reports: the model, adapter and layers that it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Name of the engine that answers.
    pub target: TargetName,
    /// Highest fencing number received; none if the engine ignores fencing numbers.
    pub fence: Option<FenceNumber>,
    /// Model that the engine holds.
    pub model: ModelName,
    /// Version of the model that it holds.
    pub version: ModelVersion,
    /// Adapter that it holds, if any.
    pub adapter: Option<AdapterName>,
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Whether the engine is loading weights.
    pub loading: bool,
}
