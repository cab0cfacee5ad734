//! Chains of targets that forward a request from one to the next without going through the entry.

mod cost;
mod crossing;
mod entry_load;
mod fleet;
mod health;
mod health_checks;
mod limited;
mod refusals;
mod room;
mod router;
mod search;

pub(crate) use cost::utilization_factor;
pub use entry_load::{
    EntryLoad, EntryLoadTable, FullTarget, OtherEntriesLoad, TargetLoad, report_interval_ms,
    report_valid_ms,
};
pub use fleet::ChainTarget;
pub use health::{HealthSettings, ProbeOutcome};
pub use health_checks::SilentTargets;
pub use router::{
    Chain, ChainLoad, ChainRequest, ChainReservation, ChainRouter, ChainSettings, Hop, NoChain,
};
