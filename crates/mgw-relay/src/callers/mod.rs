//! Callers: their connections, their requests, refusals.

mod call;
mod handle;
mod refusal;
mod serve;

pub use call::Call;
pub use handle::take_request;
pub use refusal::{CutOff, Refusal, RelayBody, whole_body};
pub use serve::{Callers, serve_callers};
