//! What follows a fault of a chain: who is to blame, and whether the stream goes on elsewhere.

use mgw_world::Millis;
use tracing::{info, warn};

use super::chain_stream::ReservedChain;
use super::fault::StreamFault;
use super::open::OpenError;
use super::relayed_stream::MIN_SEND_TIME_MS;
use super::{EventSplitter, RelayedStream};
use crate::request_sends::{RequestSends, SendOutcome};
use crate::targets::{Answer, SendFailure, probe_hops};

/// Pause after a stream found no other chain to go on at.
const MOVE_PAUSE_MS: Millis = Millis(400);

impl RelayedStream {
    /// Goes on at another chain after the last event; false when that can't be done.
    pub(super) async fn move_to_other_chain(&mut self, fault: StreamFault) -> bool {
        let end = fault.to_send_outcome();
        let mut sends = self.sends;
        sends.record(end);
        if !self.may_move(sends) {
            return self.keep_waiting(fault);
        }
        let old = self.chain_stream.take();
        if let Some(chain_stream) = &old {
            self.record_first_target_disconnect(&chain_stream.reserved, end);
            self.avoid_chain(&chain_stream.reserved);
        }
        let from = self.chain.clone();
        match self.open().await {
            Ok((_, chain_stream)) => {
                self.sends = sends;
                self.moves += 1;
                self.splitter = EventSplitter::default();
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
                    "stream goes on at another chain"
                );
                true
            }
            Err(open_error) => {
                if let OpenError::SendFailed(end, cause) = &open_error {
                    self.record_failed_send(*end, cause);
                }
                warn!(id = %self.call.head.id, cause = %fault, from, "stream found no other chain");
                self.chain = from;
                self.chain_stream = old;
                self.keep_waiting(fault)
            }
        }
    }

    /// Whether a stream may go on elsewhere once the present send is counted; takes the further
    /// send from the budget.
    fn may_move(&self, sends: RequestSends) -> bool {
        let can_resume = self.call.route.is_resumable && self.event_order.last().is_some();
        let has_time = self.time_left() > MIN_SEND_TIME_MS;
        can_resume && has_time && sends.may_send() && self.app.try_retry(&self.call.service)
    }

    /// Whether a chain may be left for another one; takes nothing from the budget.
    pub(super) fn could_move(&self) -> bool {
        let mut sends = self.sends;
        sends.record(SendOutcome::Unknown);
        let has_time = self.time_left() > MIN_SEND_TIME_MS;
        has_time && sends.may_send() && self.app.has_retry(&self.call.service)
    }

    /// A chain that is only silent may still bring the rest.
    fn keep_waiting(&mut self, fault: StreamFault) -> bool {
        self.next_move_at = self.app.clock.now() + MOVE_PAUSE_MS;
        fault.leaves_chain_open() && self.chain_stream.is_some()
    }

    pub(super) fn avoid_chain(&mut self, reserved: &ReservedChain) {
        let names = reserved.hops.iter().map(|hop| hop.target.clone());
        self.avoid.extend(names);
    }

    pub(super) fn record_failed_send(&mut self, end: SendOutcome, cause: &'static str) {
        self.sends.record(end);
        self.app
            .metrics
            .sends
            .with_label_values(&[&end.to_string()])
            .inc();
        warn!(
            id = %self.call.head.id,
            service = %self.call.service,
            %end,
            cause,
            sends = self.sends.sent(),
            "chain gave no stream"
        );
    }

    pub(super) fn record_send_failure(
        &mut self,
        reserved: &ReservedChain,
        failure: SendFailure,
    ) -> OpenError {
        let (end, cause) = match failure {
            SendFailure::NotSent => (SendOutcome::NotSent, "no connection"),
            SendFailure::Broken => (
                SendOutcome::TargetLost,
                StreamFault::ConnectionBroke.as_str(),
            ),
            SendFailure::Late => (SendOutcome::Unknown, "no answer in time"),
            SendFailure::Foreign => (SendOutcome::Unknown, "answer of another request"),
        };
        self.record_first_target_disconnect(reserved, end);
        OpenError::SendFailed(end, cause)
    }

    /// Leaves the target out that a refusal names, or the first of the chain.
    pub(super) fn block_target_at_fault(&mut self, reserved: &ReservedChain, answer: &Answer) {
        let now = self.app.clock.now();
        let first = &reserved.hops[0].target;
        let blamed = self.app.with_chains(&self.call.service, |chains| {
            let named = answer.head.at_fault.and_then(|at| chains.name_at(at));
            let name = named.unwrap_or_else(|| first.clone());
            chains.block(&name, now);
            name
        });
        info!(
            id = %self.call.head.id,
            status = answer.parts.status.as_u16(),
            at_fault = blamed.as_ref().map(tracing::field::display),
            "chain turned the request away"
        );
    }

    /// The first target of a chain is at the other end of the connection: what broke is its own.
    pub(super) fn record_first_target_disconnect(
        &self,
        reserved: &ReservedChain,
        end: SendOutcome,
    ) {
        if !matches!(end, SendOutcome::NotSent | SendOutcome::TargetLost) {
            return;
        }
        let now = self.app.clock.now();
        let service = &self.call.service;
        let first = reserved.hops[0].clone();
        self.app.with_chains(service, |chains| {
            chains.record_disconnect(&first.target, now);
        });
        let cause = StreamFault::ConnectionBroke.as_str();
        probe_hops(&self.app, service, vec![first], cause);
    }
}
