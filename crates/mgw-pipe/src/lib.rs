//! Runs one request through the stages of a model, and recovers it when a stage fails.
//!
//! [`Pipeline`] is a state machine: it takes [`Event`]s, returns [`Action`]s and performs no I/O.
//! Each stage runs the positions that the stage before it has delivered, so that chunked prefill,
//! decoding and the rebuilding of a lost stage are the same data flow.

mod budget;
mod buffer;
mod degradation;
mod event;
mod move_budget;
mod pipeline;
mod recover;
mod replace;
mod settings;
mod stage;
mod step_times;
mod transfer;

pub use budget::ActivationBudget;
pub use degradation::{DegradationDetector, PaceSettings};
pub use event::{Action, CallId, Event, StepTimeout};
pub use move_budget::{MoveBudget, MoveSettings};
pub use pipeline::{GenerationRequest, Pipeline};
pub use replace::ReplaceCause;
pub use settings::PipeSettings;
pub use stage::Stage;
pub use step_times::{StepTimes, TimeSettings};
