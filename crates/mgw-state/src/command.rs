//! Commands that go through the log and the replies to them.

use mgw_contract::operator::{ApplyReply, DrainRequest, ResolveRequest};
use mgw_routing::RoutingDocument;
use mgw_world::{
    FenceNumber, NodeName, OperatorName, RequestId, Revision, RoutingVersion, UnixMillis,
};
use serde::{Deserialize, Serialize};

use crate::{
    ClaimKey, ClaimReply, ClaimRequest, ClaimantId, ConfigChange, ConfigPatch, OutcomeReport,
    RecordReply, ResolveReply,
};

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Time at the leader that proposed it; never moves the state's time back.
    pub at_unix_ms: UnixMillis,
    /// What shall be done.
    pub action: Action,
}

/// A call of an operator that was refused before it could become a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Who asked, as stated; not proven.
    pub operator: OperatorName,
    /// What was asked.
    pub action: String,
    /// Change id, key or name.
    pub subject: String,
    /// Revision that it was based on.
    pub base: Option<Revision>,
    /// Why it was refused.
    pub reason: String,
}

/// What a command does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Changes the configuration.
    ApplyConfig(Box<ConfigChange>),
    /// Changes the configuration; made by [`State::plan_change`](crate::State::plan_change).
    PatchConfig(Box<ConfigPatch>),
    /// Claims the right to run a call.
    Claim(ClaimRequest),
    /// Records what came of a call.
    RecordOutcome(OutcomeReport),
    /// Gives a claim back; only when certainly no byte was sent.
    ReleaseClaim {
        /// What the claim is for.
        key: ClaimKey,
        /// Request that claimed.
        request: RequestId,
        /// Entry that claimed.
        claimant: ClaimantId,
    },
    /// Declares an incarnation of an entry lost; its open claims become unknown.
    EntryLost {
        /// The incarnation; all before it count as lost, too.
        claimant: ClaimantId,
    },
    /// An operator's word on a claim.
    Resolve {
        /// The operator.
        operator: OperatorName,
        /// The claim and whether the call ran.
        request: ResolveRequest,
    },
    /// Asks an entry or target to leave.
    Drain {
        /// The operator.
        operator: OperatorName,
        /// What shall leave.
        subject: DrainRequest,
    },
    /// Takes a drain back.
    Undrain {
        /// The operator.
        operator: OperatorName,
        /// What shall stay.
        subject: DrainRequest,
    },
    /// Puts a refused call into the audit trail.
    NoteRefusal(Refusal),
    /// A new leader takes its fencing number.
    SetFence {
        /// Its term.
        fence: FenceNumber,
        /// The leader.
        leader: NodeName,
    },
    /// Replaces the routing document if the version is higher than the one held.
    ReplaceRouting(RoutingDocument),
    /// Moves the time, so that claims leave the window while nothing else happens.
    AdvanceTime,
}

/// Answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Action::ApplyConfig`] and [`Action::PatchConfig`].
    Config(ApplyReply),
    /// To [`Action::Claim`].
    Claim(ClaimReply),
    /// To [`Action::RecordOutcome`] and [`Action::ReleaseClaim`].
    Record(RecordReply),
    /// To [`Action::EntryLost`].
    EntryLost {
        /// Claims that became unknown.
        unknown: u32,
    },
    /// To [`Action::Resolve`].
    Resolve(ResolveReply),
    /// To [`Action::Drain`] and [`Action::Undrain`].
    Drain {
        /// Whether anything changed.
        changed: bool,
    },
    /// To [`Action::SetFence`].
    Fence {
        /// Newest fencing number; higher than the one asked for if that was refused.
        newest: FenceNumber,
    },
    /// To [`Action::ReplaceRouting`].
    Routing {
        /// Version held now.
        version: RoutingVersion,
    },
    /// To [`Action::NoteRefusal`] and [`Action::AdvanceTime`].
    Noted,
    /// The log index was applied before; nothing changed.
    AlreadyApplied {
        /// Highest index applied.
        applied: u64,
    },
}
