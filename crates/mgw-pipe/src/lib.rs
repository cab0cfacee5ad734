//! A request's way through its stages, and its recovery when a stage fails.
//!
//! [`Pipeline`] is driven by [`Event`]s and answers with [`Action`]s; it performs no I/O. Each stage
//! takes the positions that the stage before it has delivered, so that prefill in chunks, decoding
//! and the rebuilding of a lost stage are the same data flow.

mod budget;
mod buffer;
mod event;
mod moves;
mod pace;
mod pipeline;
mod recover;
mod replace;
mod settings;
mod stage;
mod times;
mod transfer;

pub use budget::ActivationBudget;
pub use event::{Action, CallId, Event, StepTimeout};
pub use moves::{MoveBudget, MoveSettings};
pub use pace::{DegradationDetector, PaceSettings};
pub use pipeline::{GenerationRequest, Pipeline};
pub use replace::ReplaceCause;
pub use settings::PipeSettings;
pub use stage::Stage;
pub use times::{StepTimes, TimeSettings};
