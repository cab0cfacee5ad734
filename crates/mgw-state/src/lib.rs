//! The state machine of the replicated log: the accepted configuration, the ledger of calls that
//! run at most once, the audit trail, drained entries and targets, the fencing number, the routing
//! document, the quarantine of parts of prompts and the targets that are leaving.
//!
//! It is deterministic: nothing here performs I/O or reads a clock, and time enters as a field of
//! [`Command`].

mod audit;
mod codec;
mod command;
mod config;
mod error;
mod inventory;
mod leaving;
mod ledger;
pub mod orders;
mod quarantine;
mod state;

pub use audit::{AuditFilter, AuditTrail};
pub use codec::{decode, encode};
pub use command::{Action, Command, Refusal, Reply};
pub use config::{
    ConfigChange, ConfigDiff, ConfigPatch, ConfigUpdate, ConfigView, Configuration, Digest,
    SectionDiff, TextPatch,
};
pub use error::StateError;
pub use inventory::{
    ExpectedDuty, ExpectedTarget, Holding, Inventory, LedgerRules, Operator, RequestRules, Rules,
    hash_key,
};
pub use leaving::LeavingTargets;
pub use ledger::{
    ClaimKey, ClaimReply, ClaimRequest, ClaimantId, Ledger, OutcomeReport, RecordReply,
    RecordedResponse, ResolveReply,
};
pub use quarantine::Quarantine;
pub use state::State;
