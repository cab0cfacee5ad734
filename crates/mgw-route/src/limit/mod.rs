//! Limits on concurrent requests, on steps in flight and on retries.

mod admission;
mod budget;
mod estimate;
mod fair_queue;
mod latency;
mod level;
mod request;
mod shared_budget;
mod step_window;

pub use admission::Admission;
pub use budget::{RetryBudget, RetryBudgetSettings};
pub use latency::{LatencyLimit, LatencyLimitSettings};
pub use level::{AdmissionLevel, ServiceDemand, UrgencyDemand};
pub use request::{AdmissionCapacity, AdmissionRequest, AdmissionSettings, Decision, Event};
pub use shared_budget::{SendWindow, ServiceSends, compute_retry_grant};
pub use step_window::{StepWindow, StepWindowSettings};
