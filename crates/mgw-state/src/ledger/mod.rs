//! The ledger of calls that run at most once.

mod book;
mod claim;
mod key;

pub use book::Ledger;
pub use claim::{
    ClaimKey, ClaimReply, ClaimRequest, ClaimantId, OutcomeReport, RecordReply, RecordedResponse,
    ResolveReply,
};
