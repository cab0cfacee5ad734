//! The state machine.

use std::collections::BTreeSet;
use std::sync::Arc;

use mgw_contract::operator::{ApplyReply, AuditRecord, DrainRequest, ResolveRequest};
use mgw_routing::RoutingDocument;
use mgw_world::{EntryName, FenceNumber, NodeName, OperatorName, Revision, TargetName, UnixMillis};
use serde::{Deserialize, Serialize};

use crate::config::ChangeResult;
use crate::{
    Action, AuditTrail, ClaimKey, Command, ConfigChange, ConfigPatch, Configuration, Inventory,
    Ledger, Refusal, Reply, ResolveReply, StateError, decode, encode,
};

/// Form of the snapshot; grows with each change that older programs can't read.
const SNAPSHOT_FORMAT: u8 = 2;

/// Everything that the controls agree on.
///
/// ```
/// use mgw_state::{Action, Command, Reply, State};
/// use mgw_world::UnixMillis;
/// let mut state = State::default();
/// let command = Command { at_unix_ms: UnixMillis(5), action: Action::AdvanceTime };
/// assert_eq!(state.apply(1, command), Reply::Noted);
/// let copy = State::restore(&state.snapshot()).unwrap();
/// assert_eq!(copy, state);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    applied: u64,
    now: UnixMillis,
    config: Configuration,
    ledger: Ledger,
    audit: AuditTrail,
    drained_entries: BTreeSet<EntryName>,
    drained_targets: BTreeSet<TargetName>,
    fence: FenceNumber,
    leader: Option<NodeName>,
    routing: RoutingDocument,
}

impl State {
    /// Highest log index applied.
    #[must_use]
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// Time of the newest command.
    #[must_use]
    pub const fn now(&self) -> UnixMillis {
        self.now
    }

    /// The accepted configuration.
    #[must_use]
    pub const fn config(&self) -> &Configuration {
        &self.config
    }

    /// Inventory and rules in force.
    #[must_use]
    pub const fn inventory(&self) -> &Arc<Inventory> {
        self.config.inventory()
    }

    /// The ledger.
    #[must_use]
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The audit trail.
    #[must_use]
    pub const fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// Entries that were asked to leave.
    #[must_use]
    pub const fn drained_entries(&self) -> &BTreeSet<EntryName> {
        &self.drained_entries
    }

    /// Targets that were asked to leave.
    #[must_use]
    pub const fn drained_targets(&self) -> &BTreeSet<TargetName> {
        &self.drained_targets
    }

    /// Newest fencing number and the leader that took it.
    #[must_use]
    pub fn fence(&self) -> (FenceNumber, Option<&NodeName>) {
        (self.fence, self.leader.as_ref())
    }

    /// The routing document of the highest version; version zero when none was accepted.
    #[must_use]
    pub const fn routing(&self) -> &RoutingDocument {
        &self.routing
    }

    /// All state as bytes.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = vec![SNAPSHOT_FORMAT];
        bytes.extend(encode(self));
        bytes
    }

    /// Reads a snapshot.
    ///
    /// # Errors
    /// When the bytes are damaged or of a form that this program doesn't know.
    pub fn restore(bytes: &[u8]) -> Result<Self, StateError> {
        match bytes.split_first() {
            Some((&SNAPSHOT_FORMAT, rest)) => decode(rest),
            _ => Err(StateError::Damaged),
        }
    }

    /// The action that proposes a change: a difference when the change is based on the revision
    /// held here and has no faults, else the change as it is.
    #[must_use]
    pub fn plan_change(&self, change: ConfigChange) -> Action {
        match self.config.patch(&change) {
            Some(patch) => Action::PatchConfig(Box::new(patch)),
            None => Action::ApplyConfig(Box::new(change)),
        }
    }

    /// Applies the command at a log index; an index that was applied before changes nothing.
    pub fn apply(&mut self, index: u64, command: Command) -> Reply {
        if index <= self.applied {
            return Reply::AlreadyApplied {
                applied: self.applied,
            };
        }
        self.applied = index;
        self.now = self.now.max(command.at_unix_ms);
        let rules = self.inventory().rules.ledger;
        self.ledger.advance(self.now, &rules);
        match command.action {
            Action::ApplyConfig(change) => Reply::Config(self.apply_config(*change)),
            Action::PatchConfig(patch) => Reply::Config(self.patch_config(*patch)),
            Action::Claim(asked) => Reply::Claim(self.ledger.claim(asked, self.now, &rules)),
            Action::RecordOutcome(report) => {
                Reply::Record(self.ledger.record_outcome(report, self.now))
            }
            Action::ReleaseClaim {
                key,
                request,
                claimant,
            } => Reply::Record(self.ledger.release(&key, request, &claimant)),
            Action::EntryLost { claimant } => Reply::EntryLost {
                unknown: self.ledger.lose_entry(&claimant),
            },
            Action::Resolve { operator, request } => {
                Reply::Resolve(self.resolve(operator, request))
            }
            Action::Drain { operator, subject } => self.set_drain(operator, subject, true),
            Action::Undrain { operator, subject } => self.set_drain(operator, subject, false),
            Action::NoteRefusal(refusal) => self.note_refusal(refusal),
            Action::SetFence { fence, leader } => self.set_fence(fence, leader),
            Action::ReplaceRouting(document) => self.replace_routing(document),
            Action::AdvanceTime => Reply::Noted,
        }
    }

    fn apply_config(&mut self, change: ConfigChange) -> ApplyReply {
        let record = AuditRecord {
            base: Some(change.base),
            ..self.blank_record(change.operator.clone(), "apply", change.change_id.clone())
        };
        let result = self.config.apply(change);
        self.finish_change(result, record)
    }

    fn patch_config(&mut self, patch: ConfigPatch) -> ApplyReply {
        let record = AuditRecord {
            base: Some(patch.diff.base),
            ..self.blank_record(patch.operator.clone(), "apply", patch.change_id.clone())
        };
        let result = self.config.apply_patch(patch);
        self.finish_change(result, record)
    }

    fn finish_change(&mut self, result: ChangeResult, mut record: AuditRecord) -> ApplyReply {
        let reply = match result {
            ChangeResult::Resend(reply) => return reply,
            ChangeResult::Refused(reply) => {
                record.detail = explain_refusal(&reply);
                reply
            }
            ChangeResult::Accepted(reply, diff, old) => {
                record.detail = diff.describe(&old);
                record.revision = Some(diff.revision);
                record.accepted = true;
                reply
            }
        };
        self.note(record);
        reply
    }

    fn resolve(&mut self, operator: OperatorName, request: ResolveRequest) -> ResolveReply {
        let key = ClaimKey {
            workspace: request.workspace,
            service: request.service,
            key: request.key,
        };
        let subject = key.to_string();
        let reply = self.ledger.resolve(key, request.ran, self.now);
        let accepted = matches!(reply, ResolveReply::Resolved { .. });
        let detail = match reply {
            ResolveReply::Resolved { outcome } => format!("outcome {outcome}"),
            ResolveReply::InProgress => "an entry holds the claim".to_owned(),
            ResolveReply::AlreadyEnded { outcome } => format!("had ended: outcome {outcome}"),
            ResolveReply::NoClaim => "no such claim".to_owned(),
        };
        self.note(AuditRecord {
            accepted,
            detail,
            ..self.blank_record(operator, "resolve", subject)
        });
        reply
    }

    fn set_drain(&mut self, operator: OperatorName, subject: DrainRequest, drain: bool) -> Reply {
        let (name, changed) = match subject {
            DrainRequest::Entry(name) => {
                let text = format!("entry {name}");
                (text, set_member(&mut self.drained_entries, name, drain))
            }
            DrainRequest::Target(name) => {
                let text = format!("target {name}");
                (text, set_member(&mut self.drained_targets, name, drain))
            }
        };
        let action = if drain { "drain" } else { "undrain" };
        let detail = if changed { "" } else { "was so before" };
        self.note(AuditRecord {
            accepted: true,
            detail: detail.to_owned(),
            ..self.blank_record(operator, action, name)
        });
        Reply::Drain { changed }
    }

    fn note_refusal(&mut self, refusal: Refusal) -> Reply {
        let mut record = self.blank_record(refusal.operator, &refusal.action, refusal.subject);
        record.base = refusal.base;
        record.detail = refusal.reason;
        self.note(record);
        Reply::Noted
    }

    fn set_fence(&mut self, fence: FenceNumber, leader: NodeName) -> Reply {
        if fence > self.fence {
            self.fence = fence;
            self.leader = Some(leader);
        }
        Reply::Fence { newest: self.fence }
    }

    fn replace_routing(&mut self, document: RoutingDocument) -> Reply {
        let accepted = document.version > self.routing.version;
        let detail = format!("{} bytes", document.source.len());
        self.note(AuditRecord {
            accepted,
            detail,
            ..self.blank_record(
                OperatorName::default(),
                "replace routing",
                format!("version {}", document.version),
            )
        });
        if accepted {
            self.routing = document;
        }
        Reply::Routing {
            version: self.routing.version,
        }
    }

    fn blank_record(&self, operator: OperatorName, action: &str, subject: String) -> AuditRecord {
        AuditRecord {
            number: 0,
            at_unix_ms: self.now,
            operator,
            action: action.to_owned(),
            subject,
            base: None,
            revision: None,
            accepted: false,
            detail: String::new(),
        }
    }

    fn note(&mut self, record: AuditRecord) {
        let kept = self.inventory().rules.audit_records;
        self.audit.add(record, kept);
    }

    /// Revision of the accepted configuration.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.config.revision()
    }
}

fn set_member<T: Ord>(set: &mut BTreeSet<T>, member: T, present: bool) -> bool {
    if present {
        set.insert(member)
    } else {
        set.remove(&member)
    }
}

fn explain_refusal(reply: &ApplyReply) -> String {
    match reply {
        ApplyReply::Accepted { revision } => format!("made revision {revision}"),
        ApplyReply::Conflict {
            current,
            winner_change_id,
            winner,
        } => format!("conflict: `{winner_change_id}` of {winner} won; revision is {current}"),
        ApplyReply::Invalid { findings } => {
            let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
            lines.join("; ")
        }
    }
}
