//! The ledger: idempotency keys of calls that run at most once.

mod claim;
mod key_time;
mod store;

pub use claim::{
    ClaimKey, ClaimReply, ClaimRequest, ClaimantId, OutcomeReport, RecordReply, RecordedResponse,
    ResolveReply,
};
pub use store::Ledger;
