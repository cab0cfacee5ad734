//! The actor that owns the replica and applies committed entries to the state machine.

use std::collections::BTreeMap;
use std::sync::mpsc::Sender;

use mgw_peer::PeerError;
use mgw_quorum::{
    DiskWrite, Entry, Index, MemberChange, Output, Payload, QuorumError, ReadToken, Replica, Role,
    Snapshot, Storage, Term,
};
use mgw_state::{Action, Command, Reply, State, decode, encode};
use mgw_world::{Clock, Millis, NodeName};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::watch;
use tracing::{error, info, warn};

use super::describe::{DiskState, describe, leader_name};
use super::disk::start_disk;
use super::message::ResponseSender;
use super::senders::Senders;
use super::{ReplicaMessage, SharedState};

/// Shortest time between two confirmed reads; reads requested in between share the next one.
const READ_INTERVAL_MS: Millis = Millis(25);

/// Arguments with which the actor is started.
pub struct ReplicaActorArgs {
    /// Replica of the log, with the state recovered from disk.
    pub replica: Replica,
    /// The replica's data folder.
    pub storage: Storage,
    /// The clock that the replica was started with.
    pub clock: Clock,
    /// Queues of messages to the other controls.
    pub senders: Senders,
    /// State machine to which committed commands are applied.
    pub state: SharedState,
    /// Incremented at each change of the configuration, the drains or the routing document.
    pub config_version: watch::Sender<u64>,
    /// Number of applied entries after which the log is compacted into a snapshot.
    pub snapshot_entries: u64,
}

/// A proposed command whose entry isn't committed yet.
struct Proposal {
    term: Term,
    response_sender: ResponseSender<Reply>,
}

/// The actor's mutable state: the replica, and the calls that wait for it.
pub struct ReplicaActorState {
    context: ReplicaContext,
    replica: Replica,
    disk: Sender<DiskWrite>,
    is_write_in_flight: bool,
    is_disk_full: bool,
    is_flush_scheduled: bool,
    pending_proposals: BTreeMap<Index, Proposal>,
    queued_reads: Vec<ResponseSender<()>>,
    pending_reads: BTreeMap<ReadToken, Vec<ResponseSender<()>>>,
    last_read_at: Millis,
    last_read_token: u64,
    sync_count: u64,
}

/// State and channels of the actor besides the replica and its disk.
struct ReplicaContext {
    clock: Clock,
    senders: Senders,
    state: SharedState,
    config_version: watch::Sender<u64>,
    snapshot_entries: u64,
}

/// Actor that owns the replica, so that messages change it one at a time.
#[derive(Debug, Default)]
pub struct ReplicaActor;

impl Actor for ReplicaActor {
    type Msg = ReplicaMessage;
    type State = ReplicaActorState;
    type Arguments = ReplicaActorArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let disk = start_disk(arguments.storage, myself);
        Ok(ReplicaActorState {
            replica: arguments.replica,
            disk,
            is_write_in_flight: false,
            is_disk_full: false,
            is_flush_scheduled: false,
            pending_proposals: BTreeMap::new(),
            queued_reads: Vec::new(),
            pending_reads: BTreeMap::new(),
            last_read_at: Millis::ZERO,
            last_read_token: 0,
            sync_count: 0,
            context: ReplicaContext {
                clock: arguments.clock,
                senders: arguments.senders,
                state: arguments.state,
                config_version: arguments.config_version,
                snapshot_entries: arguments.snapshot_entries,
            },
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let is_flush = matches!(message, ReplicaMessage::Flush);
        state.handle_message(message);
        if !is_flush {
            state.schedule_flush(&myself);
        }
        Ok(())
    }
}

impl ReplicaActorState {
    fn handle_message(&mut self, message: ReplicaMessage) {
        let now = self.context.clock.now();
        match message {
            ReplicaMessage::Deliver(messages) => {
                for envelope in messages {
                    self.replica.receive(envelope, now);
                }
            }
            ReplicaMessage::Submit(action, sender) => self.propose(*action, sender),
            ReplicaMessage::Read(sender) => self.queued_reads.push(sender),
            ReplicaMessage::Change(change, sender) => {
                let _ = sender.send(self.change_members(&change));
            }
            ReplicaMessage::TransferLeadership => self.transfer_leadership(),
            ReplicaMessage::Describe(sender) => {
                let disk = DiskState {
                    is_full: self.is_disk_full,
                    sync_count: self.sync_count,
                };
                let _ = sender.send(describe(&self.replica, disk, now));
            }
            ReplicaMessage::DiskFull => {
                self.is_disk_full = true;
                self.transfer_leadership();
            }
            ReplicaMessage::Synced(write, sync_count) => {
                self.is_write_in_flight = false;
                self.is_disk_full = false;
                self.sync_count = sync_count;
                self.replica.confirm_synced(write, now);
            }
            ReplicaMessage::Tick => {
                self.replica.tick(now);
                self.start_queued_reads(now);
            }
            ReplicaMessage::Flush => {
                self.is_flush_scheduled = false;
                self.flush();
            }
        }
    }

    /// Schedules a flush behind the messages that are already in the mailbox, so that their output
    /// is carried out together.
    fn schedule_flush(&mut self, myself: &ActorRef<ReplicaMessage>) {
        if !self.is_flush_scheduled {
            self.is_flush_scheduled = myself.cast(ReplicaMessage::Flush).is_ok();
        }
    }

    /// Carries out the replica's output: sends, writes, applies and responds. While a write is in
    /// flight no other is started: records that accumulate meanwhile share the next sync (group
    /// commit).
    fn flush(&mut self) {
        let output = if self.is_write_in_flight {
            self.replica.take_output_without_write()
        } else {
            self.replica.take_output()
        };
        if is_empty(&output) {
            return;
        }
        for envelope in output.messages {
            self.context.senders.send(envelope);
        }
        if let Some(write) = output.disk_write {
            self.is_write_in_flight = self.disk.send(write).is_ok();
        }
        if let Some(snapshot) = output.install_snapshot {
            self.install_snapshot(&snapshot);
        }
        for entry in output.committed {
            self.apply(entry);
        }
        for ready in output.ready_reads {
            self.complete_reads(ready.token, true);
        }
        for token in output.failed_reads {
            self.complete_reads(token, false);
        }
        if let Some(change) = output.role_change {
            info!(role = ?change.role, term = %change.term, leader = ?change.leader, "role changed");
            if change.role != Role::Leader {
                self.fail_pending_proposals();
            }
        }
        self.compact();
    }

    fn propose(&mut self, action: Action, response_sender: ResponseSender<Reply>) {
        let command = Command {
            at_unix_ms: Clock::wall(),
            action,
        };
        match self
            .replica
            .propose(encode(&command), self.context.clock.now())
        {
            Ok((term, index)) => {
                self.pending_proposals.insert(
                    index,
                    Proposal {
                        term,
                        response_sender,
                    },
                );
            }
            Err(refusal) => {
                let _ = response_sender.send(Err(self.to_peer_error(&refusal)));
            }
        }
    }

    /// Starts one confirmed read for all queued ones, so that the number of heartbeat rounds
    /// doesn't grow with the number of reads.
    fn start_queued_reads(&mut self, now: Millis) {
        if self.queued_reads.is_empty() || now - self.last_read_at < READ_INTERVAL_MS {
            return;
        }
        self.last_read_at = now;
        self.last_read_token += 1;
        let token = ReadToken(self.last_read_token);
        let response_senders = std::mem::take(&mut self.queued_reads);
        match self.replica.request_read(token, now) {
            Ok(()) => {
                self.pending_reads.insert(token, response_senders);
            }
            Err(refusal) => {
                for response_sender in response_senders {
                    let _ = response_sender.send(Err(self.to_peer_error(&refusal)));
                }
            }
        }
    }

    /// Responds to all calls that share a read.
    fn complete_reads(&mut self, token: ReadToken, is_confirmed: bool) {
        for response_sender in self.pending_reads.remove(&token).unwrap_or_default() {
            let result = if is_confirmed {
                Ok(())
            } else {
                Err(self.not_leader())
            };
            let _ = response_sender.send(result);
        }
    }

    fn change_members(&mut self, change: &MemberChange) -> Result<(), PeerError> {
        let now = self.context.clock.now();
        let result = match change {
            MemberChange::AddLearner(id) => self.replica.add_learner(id.clone(), now),
            MemberChange::Promote(id) => self.replica.promote(id.clone(), now),
            MemberChange::Remove(id) => self.replica.remove(id, now),
        };
        match result {
            Ok(_) => {
                info!(?change, "proposed a membership change");
                Ok(())
            }
            Err(refusal) => Err(self.to_peer_error(&refusal)),
        }
    }

    fn transfer_leadership(&mut self) {
        let Some(successor) = self.replica.best_transfer_target() else {
            return;
        };
        let started = self
            .replica
            .transfer_leadership(successor.clone(), self.context.clock.now());
        if started.is_ok() {
            info!(%successor, "transferring leadership");
        }
    }

    fn install_snapshot(&self, snapshot: &Snapshot) {
        if snapshot.data.is_empty() {
            return;
        }
        match State::restore(&snapshot.data) {
            Ok(state) => {
                *self.context.state.write() = state;
                self.context
                    .config_version
                    .send_modify(|version| *version += 1);
            }
            Err(failure) => {
                error!(%failure, "can't decode the snapshot of the state; exiting");
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
                    error!(%failure, %index, "can't decode a committed command; exiting");
                    std::process::exit(1);
                }
            },
            Payload::Noop | Payload::Membership(_) => None,
        };
        let Some(proposal) = self.pending_proposals.remove(&index) else {
            return;
        };
        let response = match reply {
            Some(reply) if proposal.term == entry.term => Ok(reply),
            _ => Err(self.not_leader()),
        };
        let _ = proposal.response_sender.send(response);
    }

    fn apply_command(&self, index: Index, command: Command) -> Reply {
        let changes_config = matches!(
            command.action,
            Action::ApplyConfig(_)
                | Action::PatchConfig(_)
                | Action::Drain { .. }
                | Action::Undrain { .. }
                | Action::ReplaceRouting(_)
                | Action::ReplacePackedRouting(_)
                | Action::TargetLeaving { .. }
        );
        let reply = self.context.state.write().apply(index.0, command);
        if let Reply::Routing { version } = &reply {
            info!(%index, %version, "routing document applied");
        }
        if changes_config {
            self.context
                .config_version
                .send_modify(|version| *version += 1);
        }
        reply
    }

    /// Responds `NotConfirmed` to all pending proposals once this replica is no longer the leader:
    /// another leader may still commit them.
    fn fail_pending_proposals(&mut self) {
        for proposal in std::mem::take(&mut self.pending_proposals).into_values() {
            let _ = proposal.response_sender.send(Err(PeerError::NotConfirmed));
        }
    }

    /// Replaces the log by a snapshot once enough entries were applied since the last one.
    fn compact(&mut self) {
        let applied = self.replica.applied_index();
        let entries_since_snapshot = applied.0.saturating_sub(self.replica.snapshot_index().0);
        if entries_since_snapshot < self.context.snapshot_entries || self.is_write_in_flight {
            return;
        }
        let data = self.context.state.read().snapshot();
        let bytes = data.len();
        match self
            .replica
            .compact(applied, data, self.context.clock.now())
        {
            Ok(()) => info!(%applied, bytes, "compacting the log into a snapshot"),
            Err(refusal) => warn!(%refusal, "can't compact the log into a snapshot"),
        }
    }

    fn not_leader(&self) -> PeerError {
        PeerError::NotLeader {
            leader: leader_name(&self.replica),
        }
    }

    fn to_peer_error(&self, refusal: &QuorumError) -> PeerError {
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
