//! HTTP, logging, metrics and shutdown code shared by all processes.

mod blocking;
mod guarded_stream;
pub mod http;
mod line_budget;
mod logging;
mod metrics;
mod shutdown;

pub use blocking::run_blocking;
pub use guarded_stream::{AwaitedHead, GuardedStream, MAX_HEAD_BYTES};
pub use line_budget::{BudgetFilter, FAILURE_FIELD, LineBudget, SuppressedLines};
pub use logging::{DecisionLog, UnwrittenLines, start_decision_log, start_logging};
pub use metrics::render_metrics;
pub use shutdown::Shutdown;
