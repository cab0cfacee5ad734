//! Calls that operators make to controls and entries: JSON over HTTP.

use std::collections::BTreeMap;

use mgw_world::{
    EntryName, Incarnation, KeyName, Millis, NodeName, OperatorName, PlaceName, RequestId,
    Revision, ServiceName, Subject, TargetName, UnixMillis, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::caller::Outcome;
use crate::target::Readiness;

/// Path of the status: `GET`, answered by [`StatusReply`].
pub const STATUS_PATH: &str = "/operator/v1/status";
/// Path of the configuration: `GET`, answered by [`ConfigReply`]; `POST` [`ApplyRequest`], answered
/// by [`ApplyReply`].
pub const CONFIG_PATH: &str = "/operator/v1/config";
/// Path of the audit trail: `GET`, answered by a list of [`AuditRecord`].
pub const AUDIT_PATH: &str = "/operator/v1/audit";
/// Path of the list of entries: `GET`, answered by a list of [`EntryStatus`].
pub const ENTRIES_PATH: &str = "/operator/v1/entries";
/// Path of the list of targets: `GET`, answered by a list of [`TargetStatus`].
pub const TARGETS_PATH: &str = "/operator/v1/targets";
/// Path for starting a drain: `POST` [`DrainRequest`] asks the entry or target to leave.
pub const DRAIN_PATH: &str = "/operator/v1/drain";
/// Path for cancelling a drain: `POST` [`DrainRequest`].
pub const UNDRAIN_PATH: &str = "/operator/v1/undrain";
/// Path of the ledger: `GET`, answered by a list of [`LedgerRecord`]; `POST` [`ResolveRequest`]
/// records whether a call ran.
pub const LEDGER_PATH: &str = "/operator/v1/ledger";
/// Path of the quarantine: `GET`, answered by a list of [`QuarantinedSubject`]; `POST` [`LiftRequest`]
/// takes a part out.
pub const QUARANTINE_PATH: &str = "/operator/v1/quarantine";
/// Path of the rate limits that targets state: `GET`, answered by [`LimitsReply`].
pub const LIMITS_PATH: &str = "/operator/v1/limits";
/// Header with the operator's name.
pub const OPERATOR_HEADER: &str = "x-mgw-operator";
/// Header with the operator's key.
pub const OPERATOR_KEY_HEADER: &str = "x-mgw-operator-key";

/// A control replica as seen by the replica that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Name of the control.
    pub name: NodeName,
    /// Role of the control: leader, follower, candidate, learner or damaged.
    pub role: String,
    /// Whether the control is a voting member.
    pub votes: bool,
    /// Highest log index that the control is known to have stored.
    pub matched: u64,
    /// Time since its last message, if known.
    pub silent_ms: Option<Millis>,
}

/// An entry as seen by the process that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Name of the entry.
    pub name: EntryName,
    /// Zone of the entry.
    pub place: PlaceName,
    /// Base URL for callers.
    pub url: String,
    /// Configuration revision that the entry uses.
    pub revision: Revision,
    /// Whether the entry is leaving.
    pub leaving: bool,
    /// Number of requests in flight at the entry, if the process that answers knows it.
    pub in_flight: Option<u32>,
    /// Time since its gossip record was last confirmed as current.
    pub silent_ms: Millis,
}

/// A target as seen by the process that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: TargetName,
    /// Zone of the target.
    pub place: PlaceName,
    /// Human-readable description of the layers or the service that the target runs.
    pub duty: String,
    /// Whether the target accepts new work.
    pub readiness: Readiness,
    /// Number of requests in flight at the target: an entry counts its own, a control gives the
    /// number that the target reported.
    pub in_flight: u32,
    /// Age of the latest information about the target.
    pub age_ms: Millis,
    /// Whether the process that answers may send new work to the target.
    pub in_choice: bool,
}

/// Possible and actual token rate of one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// Upper bound of the token rate with the current placement.
    pub bound_tokens_per_s: u64,
    /// Token rate over the last few seconds.
    pub reached_tokens_per_s: u64,
}

/// State of the system as seen by the process that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Name of the process that answers.
    pub node: NodeName,
    /// Configuration revision that this process uses.
    pub revision: Revision,
    /// Leader of the controls, if known.
    pub leader: Option<NodeName>,
    /// Whether a quorum of the controls is reachable.
    pub has_quorum: bool,
    /// Status of each control.
    pub replicas: Vec<ReplicaStatus>,
    /// Number of live entries.
    pub entries: u32,
    /// Number of targets that new work is sent to.
    pub targets: u32,
    /// Token rates by model name.
    pub models: BTreeMap<String, ModelStatus>,
    /// Number of ledger claims whose outcome is unknown.
    pub ledger_unknown: u32,
    /// Conditions that an operator should look at, as readable text.
    pub attention: Vec<String>,
}

/// The latest accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Configuration in TOML.
    pub text: String,
}

/// Request for a configuration change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Revision that the change is based on.
    pub base: Revision,
    /// Unique id of the change, by which a resent request is recognised.
    pub change_id: String,
    /// Complete new configuration in TOML.
    pub text: String,
}

/// A fault found in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{line}: {key}: {message}")]
pub struct ConfigFinding {
    /// Line number, starting at one.
    pub line: u32,
    /// Path of the key, such as `vms[2].place`.
    pub key: String,
    /// Description of the fault.
    pub message: String,
}

/// Answer to an [`ApplyRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyReply {
    /// The change is committed; a resent request gets this answer too.
    Accepted {
        /// Revision that the change created.
        revision: Revision,
    },
    /// Another change with the same base was accepted earlier.
    Conflict {
        /// Latest accepted revision.
        current: Revision,
        /// Id of the change that was accepted.
        winner_change_id: String,
        /// Operator who made that change.
        winner: OperatorName,
    },
    /// The configuration has faults.
    Invalid {
        /// All faults that were found.
        findings: Vec<ConfigFinding>,
    },
}

/// One record of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Sequence number of the record.
    pub number: u64,
    /// Time at which the request was received.
    pub at_unix_ms: UnixMillis,
    /// Operator who made the request.
    pub operator: OperatorName,
    /// Requested action: apply, drain, resolve and so on.
    pub action: String,
    /// Object of the action, such as a change id, a ledger key or a drained target; may be empty.
    pub subject: String,
    /// Revision on which the request was based.
    pub base: Option<Revision>,
    /// Revision that the request created, if it was accepted and created one.
    pub revision: Option<Revision>,
    /// Whether the request was accepted.
    pub accepted: bool,
    /// Difference that the change made, or the reason for the refusal.
    pub detail: String,
}

/// The entry or target that shall be drained, or whose drain is cancelled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainRequest {
    /// Name of an entry.
    Entry(EntryName),
    /// Name of a target.
    Target(TargetName),
}

impl DrainRequest {
    /// Returns the name of the entry or target.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Entry(name) => name.as_str(),
            Self::Target(name) => name.as_str(),
        }
    }
}

/// State of a claim in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerState {
    /// The entry that made the claim is alive and has not recorded an outcome yet.
    InProgress,
    /// An outcome is recorded.
    Ended(Outcome),
    /// The entry was lost after the claim and before it recorded an outcome.
    Unknown,
}

/// A claim in the ledger: one call that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Service that was called.
    pub service: ServiceName,
    /// Idempotency key of the call.
    pub key: KeyName,
    /// Request that made the claim.
    pub request: RequestId,
    /// Entry that made the claim.
    pub entry: EntryName,
    /// State of the claim.
    pub state: LedgerState,
    /// Time at which the claim was made.
    pub claimed_unix_ms: UnixMillis,
}

/// An operator's decision on a claim whose outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolveRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Service that was called.
    pub service: ServiceName,
    /// Idempotency key of the call.
    pub key: KeyName,
    /// Whether the service ran the call.
    pub ran: bool,
}

/// A part of prompts, or a request, that is kept from targets, because they ended under it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedSubject {
    /// The part or the request.
    pub subject: Subject,
    /// Time of the verdict.
    pub since_unix_ms: UnixMillis,
    /// The evidence, as readable text.
    pub evidence: String,
}

/// The rate limits of targets, as one control knows them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitsReply {
    /// The control that answers.
    pub node: NodeName,
    /// Number of entries that report to it. All report to the live control with the lowest address,
    /// so the others know no limits.
    pub reporting_entries: u32,
    /// The limits in force, in order of the targets' names.
    pub limits: Vec<LimitStatus>,
}

/// The rate limit of one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitStatus {
    /// Name of the target.
    pub target: TargetName,
    /// Incarnation that stated the limit.
    pub incarnation: Incarnation,
    /// Requests a second that it takes from all entries together.
    pub requests_per_s: f64,
    /// Time since it first said so.
    pub age_ms: Millis,
    /// Requests that entries may still send to it for now.
    pub tokens_held: u32,
}

/// Request to take a part of prompts, or a request, out of the quarantine. Written as `{"part":2989}` or
/// `{"request":"00112233445566778899aabbccddeeff"}`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LiftRequest {
    /// The part or the request.
    pub subject: Subject,
}

/// Error reply to an operator's call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{message}")]
pub struct OperatorError {
    /// Description of the error.
    pub message: String,
    /// Advice on how to correct it; may be empty.
    pub help: String,
}
