//! Reaction to a fault of a chain: which target is at fault, and whether the stream resumes on
//! another chain.

use mgw_route::{BrokenSend, TargetEnd};
use mgw_world::Millis;
use tracing::{info, warn};

use super::chain_stream::ReservedChain;
use super::fault::StreamFault;
use super::open::OpenError;
use super::relayed_stream::MIN_SEND_TIME_MS;
use super::{EventSplitter, RelayedStream};
use crate::quarantine::list_subjects;
use crate::request_sends::{RequestSends, SendOutcome};
use crate::targets::{Answer, SendFailure, probe_after_break};

/// Pause before the next attempt after a stream found no other chain to resume on.
const MOVE_PAUSE_MS: Millis = Millis(400);

impl RelayedStream {
    /// Resumes the stream after its last event on another chain. Returns whether the stream may be
    /// read on, either from the new chain or from the old one, which may only be silent.
    pub(super) async fn move_to_other_chain(&mut self, fault: StreamFault) -> bool {
        let outcome = fault.to_send_outcome();
        let mut sends = self.sends;
        sends.record(outcome);
        if !self.may_move(sends) {
            return self.keep_waiting(fault);
        }
        let previous = self.chain_stream.take();
        if let Some(chain_stream) = &previous {
            self.record_ended_targets(&chain_stream.reserved, fault);
            self.record_first_target_disconnect(&chain_stream.reserved, outcome);
            self.avoid_chain(&chain_stream.reserved, fault);
        }
        let from = self.chain.clone();
        let sent_at = self.sent_at.get();
        match self.open().await {
            Ok((_, chain_stream)) => {
                self.sends = sends;
                self.moves += 1;
                self.splitter = EventSplitter::default();
                self.event_order.require_numbers();
                self.chain_stream = Some(chain_stream);
                self.app
                    .metrics
                    .moves
                    .with_label_values(&[fault.as_str()])
                    .inc();
                warn!(
                    id = %self.call.head.id,
                    cause = %fault,
                    after_event = self.event_order.last(),
                    from,
                    to = %self.chain,
                    "stream resumed on another chain"
                );
                true
            }
            Err(open_error) => {
                if let OpenError::SendFailed(outcome, cause) = &open_error {
                    self.record_failed_send(*outcome, cause);
                }
                warn!(
                    id = %self.call.head.id,
                    cause = %fault,
                    from,
                    "stream found no other chain to resume on"
                );
                self.chain = from;
                self.sent_at.set(sent_at);
                self.chain_stream = previous;
                self.keep_waiting(fault)
            }
        }
    }

    /// Whether the stream may resume on another chain, given `sends` that include the failed one.
    /// Takes nothing from the budget.
    fn may_move(&self, sends: RequestSends) -> bool {
        let can_resume = self.call.route.is_resumable && self.event_order.last().is_some();
        let has_time = self.time_left() > MIN_SEND_TIME_MS;
        can_resume && has_time && sends.may_send() && self.app.has_retry(&self.call.service)
    }

    /// Whether the stream could move to another chain now. Takes nothing from the budget.
    pub(super) fn could_move(&self) -> bool {
        let mut sends = self.sends;
        sends.record(SendOutcome::Unknown);
        let has_time = self.time_left() > MIN_SEND_TIME_MS;
        has_time && sends.may_send() && self.app.has_retry(&self.call.service)
    }

    /// Postpones the next move. Returns whether to keep reading from the current chain: one that is
    /// only silent may still deliver the rest.
    fn keep_waiting(&mut self, fault: StreamFault) -> bool {
        self.next_move_at = self.app.clock.now() + MOVE_PAUSE_MS;
        fault.leaves_chain_open() && self.chain_stream.is_some()
    }

    /// Excludes all targets of a chain from the next choice, as long as others cover the layers. They stay in it if
    /// the entry's own links are at fault.
    pub(super) fn avoid_chain(&mut self, reserved: &ReservedChain, fault: StreamFault) {
        if fault == StreamFault::OwnLinks {
            return;
        }
        let names = reserved.hops.iter().map(|hop| hop.target.clone());
        self.avoid.extend(names);
    }

    /// Counts and logs a send that gave no stream.
    pub(super) fn record_failed_send(&mut self, outcome: SendOutcome, cause: &'static str) {
        self.sends.record(outcome);
        self.app
            .metrics
            .sends
            .with_label_values(&[&outcome.to_string()])
            .inc();
        warn!(
            id = %self.call.head.id,
            service = %self.call.service,
            end = %outcome,
            cause,
            first_target = self.chain.split('=').next(),
            subjects = %list_subjects(self.call.subjects()),
            sends = self.sends.sent(),
            "chain returned no stream"
        );
    }

    /// Converts a failed send to an error and records a disconnect of the first target.
    pub(super) fn record_send_failure(
        &mut self,
        reserved: &ReservedChain,
        failure: SendFailure,
    ) -> OpenError {
        let (outcome, cause) = failure.describe();
        self.record_first_target_disconnect(reserved, outcome);
        OpenError::SendFailed(outcome, cause)
    }

    /// Blocks the target that a refusal names as the one at fault, or else the first of the chain.
    pub(super) fn block_target_at_fault(&mut self, reserved: &ReservedChain, answer: &Answer) {
        let now = self.app.clock.now();
        let first = &reserved.hops[0].target;
        let is_full = answer.head.refuses_for_room(answer.parts.status);
        let full = answer.head.at_fault.filter(|_| is_full);
        let blocked = self.app.with_chains(&self.call.service, |chains| {
            let named = answer.head.at_fault.and_then(|at| chains.name_at(at));
            let name = named.unwrap_or_else(|| first.clone());
            chains.block(&name, now);
            if let Some(address) = full {
                chains.record_full(reserved.reservation, address, now);
            }
            name
        });
        if full.is_some() {
            self.app.metrics.count_full_refusal();
            self.app.report_due.notify_one();
        }
        info!(
            id = %self.call.head.id,
            status = answer.parts.status.as_u16(),
            at_fault = blocked.as_ref().map(tracing::field::display),
            is_full,
            "chain refused the request without running it"
        );
    }

    /// Records a disconnect of the chain's first target and probes it, if the connection failed:
    /// the relay is connected to the first target only, so no other one can have caused this.
    pub(super) fn record_first_target_disconnect(
        &self,
        reserved: &ReservedChain,
        outcome: SendOutcome,
    ) {
        if !matches!(outcome, SendOutcome::NotSent | SendOutcome::TargetLost) {
            return;
        }
        let now = self.app.clock.now();
        let service = &self.call.service;
        let first = reserved.hops[0].clone();
        self.app.with_chains(service, |chains| {
            chains.record_disconnect(&first.target, now);
        });
        let is_suspect = outcome == SendOutcome::TargetLost && !reserved.is_sound;
        let send = is_suspect.then(|| self.broken_send(reserved));
        let cause = StreamFault::ConnectionBroke.as_str();
        probe_after_break(&self.app, service, first, send, cause);
    }

    /// Records the targets of a chain whose process has ended, if the stream leaves the chain for their
    /// silence before it was seen to be sound there. Of the others a later one at the same address may tell.
    pub(super) fn record_ended_targets(&self, reserved: &ReservedChain, fault: StreamFault) {
        let is_silent = matches!(fault, StreamFault::Silence | StreamFault::LongPause);
        if !is_silent || reserved.is_sound {
            return;
        }
        let ended = self.app.with_chains(&self.call.service, |chains| {
            chains.ended_targets(reserved.reservation)
        });
        let ended = ended.unwrap_or_default();
        let send = self.broken_send(reserved);
        for hop in &reserved.hops {
            let run = hop.run();
            if ended.contains(&run) {
                self.app.record_target_end(&run, &send);
            } else {
                self.app.keep_unresolved(hop.address, run, send.clone());
            }
        }
    }

    fn broken_send(&self, reserved: &ReservedChain) -> BrokenSend {
        BrokenSend {
            subjects: self.call.subjects().to_vec(),
            times: TargetEnd {
                sent_at: reserved.sent_at,
                ended_at: self.app.clock.now(),
            },
        }
    }
}
