//! Chains of targets that pass a request's tokens on by themselves.

mod board;
mod cost;
mod crossing;
mod evidence;
mod fleet;
mod judgement;
mod router;
mod search;

pub use board::{EntryUse, OthersUse, TargetUse, UseBoard};
pub use evidence::{EvidenceSettings, ProbeOutcome};
pub use fleet::ChainTarget;
pub use judgement::Suspicion;
pub use router::{
    Chain, ChainHold, ChainLoad, ChainRequest, ChainRouter, ChainSettings, Hop, NoChain,
};
