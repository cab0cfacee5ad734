//! [`State`], the state machine that every control replicates.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mgw_contract::operator::{
    ApplyReply, AuditRecord, DrainRequest, QuarantinedSubject, ResolveRequest,
};
use mgw_routing::{PackedRouting, RoutingDocument};
use mgw_world::{
    EntryName, FenceNumber, NodeName, OperatorName, RequestDigest, Revision, Subject, TargetName,
    UnixMillis,
};
use serde::{Deserialize, Serialize};

use crate::config::ChangeResult;
use crate::{
    Action, AuditTrail, ClaimKey, Command, ConfigChange, ConfigPatch, Configuration, Inventory,
    LeavingTargets, Ledger, Quarantine, Refusal, Reply, ResolveReply, StateError, decode, encode,
};

/// Version of the snapshot format; incremented with each change that older programs can't read.
const SNAPSHOT_FORMAT: u8 = 6;
/// Format of earlier builds, without the leaving targets.
const WITHOUT_LEAVING_FORMAT: u8 = 5;
/// Format of earlier builds, whose quarantine holds parts of prompts only.
const PARTS_ONLY_FORMAT: u8 = 4;
/// Format of earlier builds, without a quarantine.
const WITHOUT_QUARANTINE_FORMAT: u8 = 3;
/// Format of earlier builds, in which the routing document isn't compressed.
const PLAIN_ROUTING_FORMAT: u8 = 2;

/// The replicated state: everything that the controls agree on.
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
    routing: PackedRouting,
    quarantine: Quarantine,
    leaving: LeavingTargets,
}

impl State {
    /// The highest log index that was applied.
    #[must_use]
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// The latest time that a command carried.
    #[must_use]
    pub const fn now(&self) -> UnixMillis {
        self.now
    }

    /// The newest accepted configuration and its history.
    #[must_use]
    pub const fn config(&self) -> &Configuration {
        &self.config
    }

    /// The inventory and rules of the accepted configuration.
    #[must_use]
    pub const fn inventory(&self) -> &Arc<Inventory> {
        self.config.inventory()
    }

    /// The ledger of calls that run at most once.
    #[must_use]
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The audit trail of accepted and refused changes.
    #[must_use]
    pub const fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// Entries that operators have drained.
    #[must_use]
    pub const fn drained_entries(&self) -> &BTreeSet<EntryName> {
        &self.drained_entries
    }

    /// Targets that operators have drained.
    #[must_use]
    pub const fn drained_targets(&self) -> &BTreeSet<TargetName> {
        &self.drained_targets
    }

    /// The highest fencing number and the leader that set it.
    #[must_use]
    pub fn fence(&self) -> (FenceNumber, Option<&NodeName>) {
        (self.fence, self.leader.as_ref())
    }

    /// The accepted routing document with the highest version; version zero when there is none.
    #[must_use]
    pub const fn routing(&self) -> &PackedRouting {
        &self.routing
    }

    /// The parts of prompts that are kept from targets.
    #[must_use]
    pub const fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// The targets that said that they are leaving.
    #[must_use]
    pub const fn leaving(&self) -> &LeavingTargets {
        &self.leaving
    }

    /// Encodes the whole state, preceded by the version of the format.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = vec![SNAPSHOT_FORMAT];
        bytes.extend(encode(self));
        bytes
    }

    /// Decodes a state that [`Self::snapshot`] encoded.
    ///
    /// # Errors
    /// When the bytes are damaged or of a format version that this program doesn't know.
    pub fn restore(bytes: &[u8]) -> Result<Self, StateError> {
        match bytes.split_first() {
            Some((&SNAPSHOT_FORMAT, rest)) => decode(rest),
            Some((&WITHOUT_LEAVING_FORMAT, rest)) => decode_without_leaving(rest),
            Some((&PARTS_ONLY_FORMAT, rest)) => decode_parts_only(rest),
            Some((&WITHOUT_QUARANTINE_FORMAT, rest)) => decode_without_quarantine(rest),
            Some((&PLAIN_ROUTING_FORMAT, rest)) => {
                decode_without_quarantine(rest)?.with_packed_routing()
            }
            _ => Err(StateError::Damaged),
        }
    }

    /// Compresses the routing document of a state that an earlier build stored.
    fn with_packed_routing(self) -> Result<Self, StateError> {
        let routing = self.routing.pack_stored_plain();
        Ok(Self {
            routing: routing.map_err(|_| StateError::Damaged)?,
            ..self
        })
    }

    /// Returns the action that proposes a change: a patch when the change is based on the current
    /// revision and passed its check, else the whole change.
    #[must_use]
    pub fn plan_change(&self, change: ConfigChange) -> Action {
        match self.config.patch(&change) {
            Some(patch) => Action::PatchConfig(Box::new(patch)),
            None => Action::ApplyConfig(Box::new(change)),
        }
    }

    /// Applies the command at a log index. A command at an index that was already applied changes
    /// nothing.
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
            Action::Claim(claim_request) => {
                Reply::Claim(self.ledger.claim(claim_request, self.now, &rules))
            }
            Action::RecordOutcome(report) => {
                Reply::Record(self.ledger.record_outcome(report, self.now))
            }
            Action::ReleaseClaim {
                key,
                request,
                claimant,
            } => Reply::Record(self.ledger.release(&key, request, &claimant)),
            Action::EntryLost { claimant } => Reply::EntryLost {
                unknown: self.ledger.mark_entry_lost(&claimant),
            },
            Action::Resolve { operator, request } => {
                Reply::Resolve(self.resolve(operator, request))
            }
            Action::Drain { operator, subject } => self.set_drain(operator, subject, true),
            Action::Undrain { operator, subject } => self.set_drain(operator, subject, false),
            Action::NoteRefusal(refusal) => self.record_refusal(refusal),
            Action::SetFence { fence, leader } => self.set_fence(fence, leader),
            Action::ReplaceRouting(document) => self.replace_plain_routing(&document),
            Action::AdvanceTime => Reply::Noted,
            Action::ReplacePackedRouting(document) => self.replace_routing(document),
            Action::QuarantinePart { part, evidence } => {
                self.quarantine_subject(part.into(), evidence)
            }
            Action::LiftQuarantine { operator, part } => self.lift_subject(operator, part.into()),
            Action::Quarantine { subject, evidence } => self.quarantine_subject(subject, evidence),
            Action::Lift { operator, subject } => self.lift_subject(operator, subject),
            Action::TargetLeaving {
                target,
                incarnation,
            } => {
                self.leaving.add(target, incarnation, self.now);
                Reply::Noted
            }
        }
    }

    fn apply_config(&mut self, change: ConfigChange) -> ApplyReply {
        let record = AuditRecord {
            base: Some(change.base),
            ..self.new_audit_record(change.operator.clone(), "apply", change.change_id.clone())
        };
        let result = self.config.apply(change);
        self.audit_change(result, record)
    }

    fn patch_config(&mut self, patch: ConfigPatch) -> ApplyReply {
        let record = AuditRecord {
            base: Some(patch.diff.base),
            ..self.new_audit_record(patch.operator.clone(), "apply", patch.change_id.clone())
        };
        let result = self.config.apply_patch(patch);
        self.audit_change(result, record)
    }

    /// Completes the audit record of a change and appends it; a resend adds no record.
    fn audit_change(&mut self, result: ChangeResult, mut record: AuditRecord) -> ApplyReply {
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
        self.append_audit_record(record);
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
        self.append_audit_record(AuditRecord {
            accepted,
            detail,
            ..self.new_audit_record(operator, "resolve", subject)
        });
        reply
    }

    fn set_drain(&mut self, operator: OperatorName, subject: DrainRequest, drain: bool) -> Reply {
        let (subject_text, changed) = match subject {
            DrainRequest::Entry(name) => {
                let text = format!("entry {name}");
                (text, set_membership(&mut self.drained_entries, name, drain))
            }
            DrainRequest::Target(name) => {
                let text = format!("target {name}");
                (text, set_membership(&mut self.drained_targets, name, drain))
            }
        };
        let action = if drain { "drain" } else { "undrain" };
        let detail = if changed { "" } else { "was so before" };
        self.append_audit_record(AuditRecord {
            accepted: true,
            detail: detail.to_owned(),
            ..self.new_audit_record(operator, action, subject_text)
        });
        Reply::Drain { changed }
    }

    fn record_refusal(&mut self, refusal: Refusal) -> Reply {
        let mut record = self.new_audit_record(refusal.operator, &refusal.action, refusal.subject);
        record.base = refusal.base;
        record.detail = refusal.reason;
        self.append_audit_record(record);
        Reply::Noted
    }

    fn set_fence(&mut self, fence: FenceNumber, leader: NodeName) -> Reply {
        if fence > self.fence {
            self.fence = fence;
            self.leader = Some(leader);
        }
        Reply::Fence { newest: self.fence }
    }

    fn replace_plain_routing(&mut self, document: &RoutingDocument) -> Reply {
        match PackedRouting::pack(document) {
            Ok(packed) => self.replace_routing(packed),
            // Compressing into memory doesn't fail; the document in force stays.
            Err(_) => Reply::Routing {
                version: self.routing.version,
            },
        }
    }

    fn replace_routing(&mut self, document: PackedRouting) -> Reply {
        let accepted = document.version > self.routing.version;
        let detail = format!("{} bytes compressed", document.size_bytes());
        self.append_audit_record(AuditRecord {
            accepted,
            detail,
            ..self.new_audit_record(
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

    /// A subject that is in quarantine already adds no audit record: several controls may report it.
    fn quarantine_subject(&mut self, subject: Subject, evidence: String) -> Reply {
        let changed = self.quarantine.add(QuarantinedSubject {
            subject,
            since_unix_ms: self.now,
            evidence: evidence.clone(),
        });
        if changed {
            self.append_audit_record(AuditRecord {
                accepted: true,
                detail: evidence,
                ..self.new_audit_record(OperatorName::default(), "quarantine", subject.to_string())
            });
        }
        Reply::Quarantine { changed }
    }

    fn lift_subject(&mut self, operator: OperatorName, subject: Subject) -> Reply {
        let changed = self.quarantine.lift(subject);
        let detail = if changed { "" } else { "wasn't in quarantine" };
        self.append_audit_record(AuditRecord {
            accepted: changed,
            detail: detail.to_owned(),
            ..self.new_audit_record(operator, "lift quarantine", subject.to_string())
        });
        Reply::Quarantine { changed }
    }

    /// An audit record of a refused action at the current time; the caller fills in the rest.
    fn new_audit_record(
        &self,
        operator: OperatorName,
        action: &str,
        subject: String,
    ) -> AuditRecord {
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

    fn append_audit_record(&mut self, record: AuditRecord) {
        let max_records = self.inventory().rules.audit_records;
        self.audit.add(record, max_records);
    }

    /// The revision of the newest accepted configuration; zero when there is none.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.config.revision()
    }
}

/// Decodes a state that lacks its last field.
fn decode_without_leaving(bytes: &[u8]) -> Result<State, StateError> {
    decode_completed(bytes, &encode(&LeavingTargets::default()))
}

/// Decodes a state that lacks its last two fields.
fn decode_without_quarantine(bytes: &[u8]) -> Result<State, StateError> {
    let missing = (Quarantine::default(), LeavingTargets::default());
    decode_completed(bytes, &encode(&missing))
}

/// Decodes a state that lacks its last field and, in the one before it, the quarantine, the requests.
fn decode_parts_only(bytes: &[u8]) -> Result<State, StateError> {
    let no_requests = BTreeMap::<RequestDigest, ()>::new();
    let missing = (no_requests, LeavingTargets::default());
    decode_completed(bytes, &encode(&missing))
}

/// Decodes a state of an earlier build with the bytes that it lacks at its end.
fn decode_completed(bytes: &[u8], missing: &[u8]) -> Result<State, StateError> {
    decode(&[bytes, missing].concat())
}

/// Inserts or removes a member; returns whether the set changed.
fn set_membership<T: Ord>(set: &mut BTreeSet<T>, member: T, present: bool) -> bool {
    if present {
        set.insert(member)
    } else {
        set.remove(&member)
    }
}

/// Describes the reply to a refused change for its audit record.
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
