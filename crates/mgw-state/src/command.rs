//! The commands of the replicated log and the replies to them.

use mgw_contract::operator::{ApplyReply, DrainRequest, ResolveRequest};
use mgw_routing::{PackedRouting, RoutingDocument};
use mgw_world::{
    FenceNumber, Incarnation, NodeName, OperatorName, PromptPart, RequestId, Revision,
    RoutingVersion, Subject, TargetName, UnixMillis,
};
use serde::{Deserialize, Serialize};

use crate::{
    ClaimKey, ClaimReply, ClaimRequest, ClaimantId, ConfigChange, ConfigPatch, OutcomeReport,
    RecordReply, ResolveReply,
};

/// A command of the replicated log: an action and the time of its proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Time at the leader that proposed the command. The state's time never decreases, even if this
    /// is earlier.
    pub at_unix_ms: UnixMillis,
    /// The action to apply.
    pub action: Action,
}

/// An operator's call that was refused before it could be proposed as a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Operator that the call named; not authenticated.
    pub operator: OperatorName,
    /// The requested action.
    pub action: String,
    /// Change id, key or name that the call was about.
    pub subject: String,
    /// Revision that the call was based on, if it named one.
    pub base: Option<Revision>,
    /// Reason of the refusal.
    pub reason: String,
}

/// The action of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Replaces the configuration by a whole new one.
    ApplyConfig(Box<ConfigChange>),
    /// Changes the configuration by a patch from
    /// [`State::plan_change`](crate::State::plan_change).
    PatchConfig(Box<ConfigPatch>),
    /// Claims the right to send a call.
    Claim(ClaimRequest),
    /// Records the outcome of a call.
    RecordOutcome(OutcomeReport),
    /// Releases a claim; only allowed when certainly no byte of the call was sent.
    ReleaseClaim {
        /// Key of the claim.
        key: ClaimKey,
        /// Request that made the claim.
        request: RequestId,
        /// Incarnation of the entry that made the claim.
        claimant: ClaimantId,
    },
    /// Declares an incarnation of an entry lost; its claims in progress become unknown.
    EntryLost {
        /// The lost incarnation; all earlier ones of the entry count as lost, too.
        claimant: ClaimantId,
    },
    /// Resolves an unknown claim with the outcome that an operator found out.
    Resolve {
        /// Operator who asks.
        operator: OperatorName,
        /// The claim and whether the call ran.
        request: ResolveRequest,
    },
    /// Drains an entry or target.
    Drain {
        /// Operator who asks.
        operator: OperatorName,
        /// Entry or target to drain.
        subject: DrainRequest,
    },
    /// Cancels a drain.
    Undrain {
        /// Operator who asks.
        operator: OperatorName,
        /// Entry or target that is to stay in use.
        subject: DrainRequest,
    },
    /// Records a refused call in the audit trail.
    NoteRefusal(Refusal),
    /// Sets the fencing number of a new leader.
    SetFence {
        /// The fencing number, which is the leader's term.
        fence: FenceNumber,
        /// Name of the leader.
        leader: NodeName,
    },
    /// As [`Self::ReplacePackedRouting`], with the plain document; logs of earlier builds hold it.
    ReplaceRouting(RoutingDocument),
    /// Advances the time, so that ended claims are forgotten even while there are no other
    /// commands.
    AdvanceTime,
    /// Replaces the routing document if the new version is higher than the current one.
    ReplacePackedRouting(PackedRouting),
    /// Keeps requests with a part in their prompts from targets.
    QuarantinePart {
        /// The part.
        part: PromptPart,
        /// The evidence, as readable text.
        evidence: String,
    },
    /// Takes a part out of the quarantine.
    LiftQuarantine {
        /// Operator who asks.
        operator: OperatorName,
        /// The part.
        part: PromptPart,
    },
    /// Keeps a subject from targets. Logs of earlier builds hold [`Self::QuarantinePart`] instead.
    Quarantine {
        /// The part of prompts or the request.
        subject: Subject,
        /// The evidence, as readable text.
        evidence: String,
    },
    /// Takes a subject out of the quarantine. Logs of earlier builds hold [`Self::LiftQuarantine`] instead.
    Lift {
        /// Operator who asks.
        operator: OperatorName,
        /// The part of prompts or the request.
        subject: Subject,
    },
    /// Records that a target said that it is leaving.
    TargetLeaving {
        /// Name of the target.
        target: TargetName,
        /// Incarnation that is leaving, and with it all earlier ones.
        incarnation: Incarnation,
    },
}

/// Reply to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`Action::ApplyConfig`] and [`Action::PatchConfig`].
    Config(ApplyReply),
    /// Reply to [`Action::Claim`].
    Claim(ClaimReply),
    /// Reply to [`Action::RecordOutcome`] and [`Action::ReleaseClaim`].
    Record(RecordReply),
    /// Reply to [`Action::EntryLost`].
    EntryLost {
        /// Number of claims that became unknown.
        unknown: u32,
    },
    /// Reply to [`Action::Resolve`].
    Resolve(ResolveReply),
    /// Reply to [`Action::Drain`] and [`Action::Undrain`].
    Drain {
        /// Whether the set of drained entries and targets changed.
        changed: bool,
    },
    /// Reply to [`Action::SetFence`].
    Fence {
        /// Highest fencing number; higher than the requested one if that was refused.
        newest: FenceNumber,
    },
    /// Reply to [`Action::ReplacePackedRouting`] and [`Action::ReplaceRouting`].
    Routing {
        /// Version of the current document.
        version: RoutingVersion,
    },
    /// Reply to [`Action::NoteRefusal`], [`Action::AdvanceTime`] and [`Action::TargetLeaving`].
    Noted,
    /// The command's log index was already applied; nothing changed.
    AlreadyApplied {
        /// Highest log index applied.
        applied: u64,
    },
    /// Reply to [`Action::Quarantine`] and [`Action::Lift`].
    Quarantine {
        /// Whether the quarantine changed.
        changed: bool,
    },
}
