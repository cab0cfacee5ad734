//! Callers: their connections, their requests and refusals.

mod call;
mod caller_stream;
mod digest;
mod handle;
mod refusal;
mod serve;

pub use call::Call;
pub use digest::RequestIdentity;
pub use handle::{Handling, handle_request};
pub use refusal::{Refusal, RelayBody, TruncatedAnswer, full_body};
pub use serve::{CallerConnections, serve_callers};
