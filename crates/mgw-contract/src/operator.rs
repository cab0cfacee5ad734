//! Calls of operators, served by controls and entries: JSON over HTTP.

use std::collections::BTreeMap;

use mgw_world::{
    EntryName, KeyName, Millis, NodeName, OperatorName, PlaceName, RequestId, Revision,
    ServiceName, TargetName, UnixMillis, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::caller::Outcome;
use crate::target::Readiness;

/// `GET` [`StatusReply`].
pub const STATUS_PATH: &str = "/operator/v1/status";
/// `GET` [`ConfigReply`]; `POST` [`ApplyRequest`], answered by [`ApplyReply`].
pub const CONFIG_PATH: &str = "/operator/v1/config";
/// `GET` a list of [`AuditRecord`].
pub const AUDIT_PATH: &str = "/operator/v1/audit";
/// `GET` a list of [`EntryStatus`].
pub const ENTRIES_PATH: &str = "/operator/v1/entries";
/// `GET` a list of [`TargetStatus`].
pub const TARGETS_PATH: &str = "/operator/v1/targets";
/// `POST` [`DrainRequest`]: asks it to leave.
pub const DRAIN_PATH: &str = "/operator/v1/drain";
/// `POST` [`DrainRequest`]: takes a drain back.
pub const UNDRAIN_PATH: &str = "/operator/v1/undrain";
/// `GET` a list of [`LedgerRecord`]; `POST` [`ResolveRequest`].
pub const LEDGER_PATH: &str = "/operator/v1/ledger";
/// Header with the operator's name.
pub const OPERATOR_HEADER: &str = "x-mgw-operator";
/// Header with the operator's key.
pub const OPERATOR_KEY_HEADER: &str = "x-mgw-operator-key";

/// A control replica as seen by the replica that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Name of the control.
    pub name: NodeName,
    /// Role: leader, follower, candidate, learner or damaged.
    pub role: String,
    /// Whether it votes.
    pub votes: bool,
    /// Last log index known to be stored there.
    pub matched: u64,
    /// Time since it was last heard.
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
    /// Revision in force there.
    pub revision: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests in flight there, if the process that answers knows.
    pub in_flight: Option<u32>,
    /// Time since it was last heard.
    pub silent_ms: Millis,
}

/// A target as seen by the process that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: TargetName,
    /// Zone of the target.
    pub place: PlaceName,
    /// Layers or service, for people.
    pub duty: String,
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// Requests that this process has in flight there.
    pub in_flight: u32,
    /// Age of the newest news of it.
    pub age_ms: Millis,
    /// Whether new work is sent there.
    pub in_choice: bool,
}

/// Bound and reached rate of one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// Largest token rate that the placement allows.
    pub bound_tokens_per_s: u64,
    /// Rate over the last seconds.
    pub reached_tokens_per_s: u64,
}

/// State of the system as seen by the process that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Process that answers.
    pub node: NodeName,
    /// Revision in force there.
    pub revision: Revision,
    /// Leader of the controls, if known.
    pub leader: Option<NodeName>,
    /// Whether a quorum is within reach.
    pub has_quorum: bool,
    /// Controls.
    pub replicas: Vec<ReplicaStatus>,
    /// Live entries.
    pub entries: u32,
    /// Live targets.
    pub targets: u32,
    /// Figures for each model by name.
    pub models: BTreeMap<String, ModelStatus>,
    /// Ledger claims without an outcome.
    pub ledger_unknown: u32,
    /// What needs an operator, in words.
    pub attention: Vec<String>,
}

/// The accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Its revision.
    pub revision: Revision,
    /// Its text in TOML.
    pub text: String,
}

/// A change of configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Revision that the change is based on.
    pub base: Revision,
    /// Names the change, so that a resend is recognised.
    pub change_id: String,
    /// The whole new configuration in TOML.
    pub text: String,
}

/// A fault found in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{line}: {key}: {message}")]
pub struct ConfigFinding {
    /// Line, from one.
    pub line: u32,
    /// Key, such as `vms[2].place`.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

/// Answer to a change of configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyReply {
    /// Committed; also the answer to a resend.
    Accepted {
        /// Revision that the change made.
        revision: Revision,
    },
    /// Another change was accepted on the same base first.
    Conflict {
        /// Newest accepted revision.
        current: Revision,
        /// Change that won.
        winner_change_id: String,
        /// Operator who made it.
        winner: OperatorName,
    },
    /// The configuration has faults.
    Invalid {
        /// All faults.
        findings: Vec<ConfigFinding>,
    },
}

/// One record of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Number of the record.
    pub number: u64,
    /// When the change was received.
    pub at_unix_ms: UnixMillis,
    /// Who asked for it.
    pub operator: OperatorName,
    /// What was asked: apply, drain, resolve and so on.
    pub action: String,
    /// Change id or key, if any.
    pub subject: String,
    /// Revision that it was based on.
    pub base: Option<Revision>,
    /// Revision that it made, if accepted.
    pub revision: Option<Revision>,
    /// Whether it was accepted.
    pub accepted: bool,
    /// The difference, or the reason of the refusal.
    pub detail: String,
}

/// What shall be drained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainRequest {
    /// An entry.
    Entry(EntryName),
    /// A target.
    Target(TargetName),
}

impl DrainRequest {
    /// Name of the entry or target.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Entry(name) => name.as_str(),
            Self::Target(name) => name.as_str(),
        }
    }
}

/// State of a ledger claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerState {
    /// Claimed by an entry that lives.
    InProgress,
    /// Ended with a recorded outcome.
    Ended(Outcome),
    /// The entry was lost between claim and outcome.
    Unknown,
}

/// One claim of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Service called.
    pub service: ServiceName,
    /// Idempotency key.
    pub key: KeyName,
    /// Request that claimed it.
    pub request: RequestId,
    /// Entry that claimed it.
    pub entry: EntryName,
    /// Its state.
    pub state: LedgerState,
    /// When it was claimed.
    pub claimed_unix_ms: UnixMillis,
}

/// An operator's word on a claim whose outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolveRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Service called.
    pub service: ServiceName,
    /// Idempotency key.
    pub key: KeyName,
    /// Whether the call ran.
    pub ran: bool,
}

/// A refusal of an operator's call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{message}")]
pub struct OperatorError {
    /// What went wrong.
    pub message: String,
    /// What to do about it.
    pub help: String,
}
