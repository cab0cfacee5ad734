//! Completion calls: admission, the run of the pipeline and the answer to the caller.

mod answer;
mod handle;
mod run;
mod stream;

pub use answer::{FinalFields, refuse_request, status_of};
pub use handle::handle_completion;
pub use run::{RunItem, RunRequest, run_request};
