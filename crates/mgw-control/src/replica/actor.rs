//! The actor that owns the replica and applies what is committed.

use std::collections::BTreeMap;
use std::sync::mpsc::Sender;

use mgw_contract::operator::ReplicaStatus;
use mgw_peer::PeerError;
use mgw_quorum::{
    DiskWrite, Entry, Index, Output, Payload, QuorumError, ReadToken, Replica, ReplicaId, Role,
    Snapshot, Storage, Term,
};
use mgw_state::{Action, Command, Reply, State, decode, encode};
use mgw_world::{Clock, Millis, NodeName};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{oneshot, watch};
use tracing::{error, info, warn};

use super::disk::start_disk;
use super::message::Answer;
use super::senders::Senders;
use super::{MemberChange, ReplicaMessage, ReplicaReport, SharedState};

/// Shortest time between two reads; those asked for meanwhile share the next one.
const READ_PAUSE_MS: Millis = Millis(25);

/// What the actor starts from.
pub struct ReplicaStart {
    /// The replica.
    pub replica: Replica,
    /// Its data folder.
    pub storage: Storage,
    /// The clock that the replica was started with.
    pub clock: Clock,
    /// Senders to the other controls.
    pub senders: Senders,
    /// The state machine.
    pub state: SharedState,
    /// Grows with each change of the configuration or of the drains.
    pub config_version: watch::Sender<u64>,
    /// Entries after which the log is replaced by a snapshot.
    pub snapshot_entries: u64,
}

/// A proposal that waits for its commit.
struct Proposal {
    term: Term,
    answer: Answer<Reply>,
}

/// State of the actor.
pub struct ReplicaRun {
    start: ReplicaStartParts,
    replica: Replica,
    disk: Sender<DiskWrite>,
    is_writing: bool,
    is_flush_due: bool,
    proposals: BTreeMap<Index, Proposal>,
    gathered_reads: Vec<Answer<()>>,
    reads: BTreeMap<ReadToken, Vec<Answer<()>>>,
    read_at: Millis,
    next_read: u64,
    syncs: u64,
}

struct ReplicaStartParts {
    clock: Clock,
    senders: Senders,
    state: SharedState,
    config_version: watch::Sender<u64>,
    snapshot_entries: u64,
}

/// Owns the replica.
#[derive(Debug, Default)]
pub struct ReplicaActor;

impl Actor for ReplicaActor {
    type Msg = ReplicaMessage;
    type State = ReplicaRun;
    type Arguments = ReplicaStart;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        start: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let disk = start_disk(start.storage, myself);
        Ok(ReplicaRun {
            replica: start.replica,
            disk,
            is_writing: false,
            is_flush_due: false,
            proposals: BTreeMap::new(),
            gathered_reads: Vec::new(),
            reads: BTreeMap::new(),
            read_at: Millis::ZERO,
            next_read: 0,
            syncs: 0,
            start: ReplicaStartParts {
                clock: start.clock,
                senders: start.senders,
                state: start.state,
                config_version: start.config_version,
                snapshot_entries: start.snapshot_entries,
            },
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        run: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let is_flush = matches!(message, ReplicaMessage::Flush);
        run.take_message(message);
        if !is_flush {
            run.schedule_flush(&myself);
        }
        Ok(())
    }
}

impl ReplicaRun {
    fn take_message(&mut self, message: ReplicaMessage) {
        let now = self.start.clock.now();
        match message {
            ReplicaMessage::Deliver(messages) => {
                for envelope in messages {
                    self.replica.receive(envelope, now);
                }
            }
            ReplicaMessage::Submit(action, answer) => self.propose(*action, answer),
            ReplicaMessage::Read(answer) => self.gathered_reads.push(answer),
            ReplicaMessage::Change(change, answer) => {
                let _ = answer.send(self.change_members(&change));
            }
            ReplicaMessage::HandOver => self.hand_over(),
            ReplicaMessage::Describe(answer) => self.describe(answer),
            ReplicaMessage::Synced(write, syncs) => {
                self.is_writing = false;
                self.syncs = syncs;
                self.replica.confirm_synced(write, now);
            }
            ReplicaMessage::Tick => {
                self.replica.tick(now);
                self.start_reads(now);
            }
            ReplicaMessage::Flush => {
                self.is_flush_due = false;
                self.flush();
            }
        }
    }

    /// Carries out the output once the messages that wait already are taken in.
    fn schedule_flush(&mut self, myself: &ActorRef<ReplicaMessage>) {
        if !self.is_flush_due {
            self.is_flush_due = myself.cast(ReplicaMessage::Flush).is_ok();
        }
    }

    /// While a write is out no other is made: all that gathers meanwhile shares the next sync.
    fn flush(&mut self) {
        let output = if self.is_writing {
            self.replica.take_output_without_write()
        } else {
            self.replica.take_output()
        };
        if is_empty(&output) {
            return;
        }
        for envelope in output.messages {
            self.start.senders.send(envelope);
        }
        if let Some(write) = output.disk_write {
            self.is_writing = self.disk.send(write).is_ok();
        }
        if let Some(snapshot) = output.install_snapshot {
            self.install(&snapshot);
        }
        for entry in output.committed {
            self.apply(entry);
        }
        for ready in output.ready_reads {
            self.end_reads(ready.token, true);
        }
        for token in output.failed_reads {
            self.end_reads(token, false);
        }
        if let Some(change) = output.role_change {
            info!(role = ?change.role, term = %change.term, leader = ?change.leader, "role changed");
            if change.role != Role::Leader {
                self.drop_proposals();
            }
        }
        self.compact();
    }

    fn propose(&mut self, action: Action, answer: Answer<Reply>) {
        let command = Command {
            at_unix_ms: Clock::wall(),
            action,
        };
        match self
            .replica
            .propose(encode(&command), self.start.clock.now())
        {
            Ok((term, index)) => {
                self.proposals.insert(index, Proposal { term, answer });
            }
            Err(refusal) => {
                let _ = answer.send(Err(self.explain(&refusal)));
            }
        }
    }

    /// Starts one read for all that gathered, so that their number doesn't raise that of the
    /// rounds of heartbeats.
    fn start_reads(&mut self, now: Millis) {
        if self.gathered_reads.is_empty() || now - self.read_at < READ_PAUSE_MS {
            return;
        }
        self.read_at = now;
        self.next_read += 1;
        let token = ReadToken(self.next_read);
        let answers = std::mem::take(&mut self.gathered_reads);
        match self.replica.request_read(token, now) {
            Ok(()) => {
                self.reads.insert(token, answers);
            }
            Err(refusal) => {
                for answer in answers {
                    let _ = answer.send(Err(self.explain(&refusal)));
                }
            }
        }
    }

    fn end_reads(&mut self, token: ReadToken, is_confirmed: bool) {
        for answer in self.reads.remove(&token).unwrap_or_default() {
            let result = if is_confirmed {
                Ok(())
            } else {
                Err(self.not_leader())
            };
            let _ = answer.send(result);
        }
    }

    fn change_members(&mut self, change: &MemberChange) -> Result<(), PeerError> {
        let now = self.start.clock.now();
        let changed = match change {
            MemberChange::AddLearner(id) => self.replica.add_learner(id.clone(), now),
            MemberChange::Promote(id) => self.replica.promote(id.clone(), now),
            MemberChange::Remove(id) => self.replica.remove(id, now),
        };
        match changed {
            Ok(_) => {
                info!(?change, "changing the members");
                Ok(())
            }
            Err(refusal) => Err(self.explain(&refusal)),
        }
    }

    fn hand_over(&mut self) {
        let Some(successor) = self.replica.best_transfer_target() else {
            return;
        };
        let handed = self
            .replica
            .transfer_leadership(successor.clone(), self.start.clock.now());
        if handed.is_ok() {
            info!(%successor, "handing leadership over");
        }
    }

    fn install(&self, snapshot: &Snapshot) {
        if snapshot.data.is_empty() {
            return;
        }
        match State::restore(&snapshot.data) {
            Ok(state) => {
                *self.start.state.write() = state;
                self.start
                    .config_version
                    .send_modify(|version| *version += 1);
            }
            Err(failure) => {
                error!(%failure, "the snapshot can't be read; the process ends");
                std::process::exit(1);
            }
        }
    }

    fn apply(&mut self, entry: Entry) {
        let index = entry.index;
        let reply = match entry.payload {
            Payload::Command(bytes) => match decode::<Command>(&bytes) {
                Ok(command) => Some(self.apply_command(index, command)),
                Err(failure) => {
                    error!(%failure, %index, "a committed command can't be read; the process ends");
                    std::process::exit(1);
                }
            },
            Payload::Noop | Payload::Membership(_) => None,
        };
        let Some(proposal) = self.proposals.remove(&index) else {
            return;
        };
        let answer = match reply {
            Some(reply) if proposal.term == entry.term => Ok(reply),
            _ => Err(self.not_leader()),
        };
        let _ = proposal.answer.send(answer);
    }

    fn apply_command(&self, index: Index, command: Command) -> Reply {
        let changes_config = matches!(
            command.action,
            Action::ApplyConfig(_)
                | Action::PatchConfig(_)
                | Action::Drain { .. }
                | Action::Undrain { .. }
                | Action::ReplaceRouting(_)
        );
        let reply = self.start.state.write().apply(index.0, command);
        if changes_config {
            self.start
                .config_version
                .send_modify(|version| *version += 1);
        }
        reply
    }

    /// Proposals of a leader that lost its role may still be committed by another.
    fn drop_proposals(&mut self) {
        for proposal in std::mem::take(&mut self.proposals).into_values() {
            let _ = proposal.answer.send(Err(PeerError::NotConfirmed));
        }
    }

    fn compact(&mut self) {
        let applied = self.replica.applied_index();
        let since = applied.0.saturating_sub(self.replica.snapshot_index().0);
        if since < self.start.snapshot_entries || self.is_writing {
            return;
        }
        let data = self.start.state.read().snapshot();
        let bytes = data.len();
        match self.replica.compact(applied, data, self.start.clock.now()) {
            Ok(()) => info!(%applied, bytes, "replacing the log by a snapshot"),
            Err(refusal) => warn!(%refusal, "couldn't make a snapshot"),
        }
    }

    fn not_leader(&self) -> PeerError {
        let leader = self
            .replica
            .leader()
            .map(|id| NodeName::from(id.name.as_str()));
        PeerError::NotLeader { leader }
    }

    fn explain(&self, refusal: &QuorumError) -> PeerError {
        match refusal {
            QuorumError::NotLeader { .. } | QuorumError::NotReady => self.not_leader(),
            QuorumError::Transferring { target } => PeerError::NotLeader {
                leader: Some(NodeName::from(target.name.as_str())),
            },
            other => PeerError::Refused {
                message: other.to_string(),
            },
        }
    }

    fn describe(&self, answer: oneshot::Sender<ReplicaReport>) {
        let membership = self.replica.membership().clone();
        let reachable: Vec<ReplicaId> = self.replica.reachable_members().into_iter().collect();
        let describe_member = |id: &ReplicaId, votes: bool| ReplicaStatus {
            name: NodeName::from(id.name.as_str()),
            role: self.describe_role(id, votes),
            votes,
            matched: self.replica.match_index(id).map_or(0, |index| index.0),
            silent_ms: None,
        };
        let voters = membership.voters.iter().map(|id| describe_member(id, true));
        let learners = membership
            .learners
            .iter()
            .map(|id| describe_member(id, false));
        let report = ReplicaReport {
            id: self.replica.id().clone(),
            role: self.replica.role(),
            term: self.replica.term(),
            leader: self
                .replica
                .leader()
                .map(|id| NodeName::from(id.name.as_str())),
            holds_lease: self.replica.has_lease_at(self.start.clock.now()),
            lease_until: self.replica.lease_until(),
            replicas: voters.chain(learners).collect(),
            membership,
            reachable,
            damage: self.replica.damage().map(ToString::to_string),
            syncs: self.syncs,
        };
        let _ = answer.send(report);
    }

    fn describe_role(&self, id: &ReplicaId, votes: bool) -> String {
        if self.replica.leader() == Some(id) {
            return "leader".to_owned();
        }
        if id == self.replica.id() {
            return format!("{:?}", self.replica.role()).to_lowercase();
        }
        if votes { "follower" } else { "learner" }.to_owned()
    }
}

const fn is_empty(output: &Output) -> bool {
    output.disk_write.is_none()
        && output.messages.is_empty()
        && output.install_snapshot.is_none()
        && output.committed.is_empty()
        && output.ready_reads.is_empty()
        && output.failed_reads.is_empty()
        && output.role_change.is_none()
}
