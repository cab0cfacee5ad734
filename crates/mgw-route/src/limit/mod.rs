//! Limits on concurrent requests, on steps in flight and on retries.

mod admission;
mod admission_gate;
mod admission_rate;
mod admission_table;
mod admission_turns;
mod budget;
mod estimate;
mod fair_queue;
mod latency;
mod level;
mod request;
mod shared_budget;
mod step_window;
mod urgency_queue;

pub use admission::Admission;
pub use admission_gate::{AdmissionGate, AdmissionRefusal, GateRequest, LevelChange};
pub use admission_rate::{AdmissionRateSettings, UrgencyRate};
pub use admission_table::{AdmissionTable, LevelStep};
pub use budget::{RetryBudget, RetryBudgetSettings};
pub use latency::{LatencyLimit, LatencyLimitSettings};
pub use level::{AdmissionLevel, ServiceDemand, UrgencyDemand};
pub use request::{AdmissionCapacity, AdmissionRequest, AdmissionSettings, Decision, Event};
pub use shared_budget::{SendWindow, ServiceSends, compute_retry_grant};
pub use step_window::{StepWindow, StepWindowSettings};
pub use urgency_queue::{UrgencyQueue, WaiterKey};
