//! Completion requests: admission, the run of the pipeline and the answer to the caller.

mod answer;
mod handle;
mod run;
mod stream;

pub use answer::{FinalFields, refuse_request};
pub use handle::handle_completion;
