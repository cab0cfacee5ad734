//! The replicated log's state machine: accepted configuration, ledger of calls that run at most
//! once, audit trail, drains and fencing number.
//!
//! Nothing here performs I/O or reads a clock: time enters as a field of [`Command`].

mod audit;
mod codec;
mod command;
mod config;
mod error;
mod inventory;
mod ledger;
pub mod orders;
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
pub use ledger::{
    ClaimKey, ClaimReply, ClaimRequest, ClaimantId, Ledger, OutcomeReport, RecordReply,
    RecordedResponse, ResolveReply,
};
pub use state::State;
