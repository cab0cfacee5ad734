//! Relaying of event streams.

mod body;
mod chain_move;
mod chain_stream;
mod events;
mod fault;
mod open;
mod pause;
mod relayed_stream;

pub use body::stream_body;
pub use events::{EventFault, EventOrder, EventSplitter};
pub use pause::{PauseAction, PauseLimits};
pub use relayed_stream::{RelayedStream, StreamStart};
