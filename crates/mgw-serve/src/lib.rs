//! HTTP, logging, metrics and shutdown plumbing shared by the processes.

pub mod http;
mod logging;
mod metrics;
mod shutdown;

pub use logging::{DecisionLog, start_decision_log, start_logging};
pub use metrics::render_metrics;
pub use shutdown::Shutdown;
