//! Chains of targets that pass a request's tokens on by themselves.

mod cost;
mod crossing;
mod entry_load;
mod evidence;
mod fleet;
mod judgement;
mod router;
mod search;

pub use entry_load::{EntryLoad, EntryLoadTable, OtherEntriesLoad, TargetLoad};
pub use evidence::{EvidenceSettings, ProbeOutcome};
pub use fleet::ChainTarget;
pub use judgement::Suspicion;
pub use router::{
    Chain, ChainHold, ChainLoad, ChainRequest, ChainRouter, ChainSettings, Hop, NoChain,
};
