//! Answers in events.

mod body;
mod events;
mod fault;
mod leg;
mod moving;
mod open;
mod patience;
mod run;

pub use body::stream_body;
pub use events::{EventFault, EventOrder, Splitter};
pub use patience::{Patience, PauseVerdict};
pub use run::{StreamRun, StreamStart};
