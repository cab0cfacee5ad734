//! What follows a fault of a chain: who is to blame, and whether the stream goes on elsewhere.

use mgw_world::Millis;
use tracing::{info, warn};

use super::fault::Fault;
use super::leg::ChainPlace;
use super::open::NoLeg;
use super::run::LAST_SEND_MS;
use super::{Splitter, StreamRun};
use crate::targets::{Answer, SendFailure, probe_hops};
use crate::tries::{Tries, TryEnd};

/// Pause after a stream found no other chain to go on at.
const MOVE_PAUSE_MS: Millis = Millis(400);

impl StreamRun {
    /// Goes on at another chain after the last event; false when that can't be done.
    pub(super) async fn go_on(&mut self, fault: Fault) -> bool {
        let end = fault.to_end();
        let mut tries = self.tries;
        tries.note(end);
        if !self.may_go_on(tries) {
            return self.keep_waiting(fault);
        }
        let old = self.leg.take();
        if let Some(leg) = &old {
            self.blame_first(&leg.place, end);
            self.avoid_chain(&leg.place);
        }
        let from = self.chain.clone();
        match self.open().await {
            Ok((_, leg)) => {
                self.tries = tries;
                self.moves += 1;
                self.splitter = Splitter::default();
                self.leg = Some(leg);
                self.app
                    .metrics
                    .moves
                    .with_label_values(&[fault.as_str()])
                    .inc();
                warn!(
                    id = %self.call.head.id,
                    cause = %fault,
                    after_event = self.order.last(),
                    from,
                    to = %self.chain,
                    "stream goes on at another chain"
                );
                true
            }
            Err(no_leg) => {
                if let NoLeg::Ended(end, cause) = &no_leg {
                    self.note_failed_send(*end, cause);
                }
                warn!(id = %self.call.head.id, cause = %fault, from, "stream found no other chain");
                self.chain = from;
                self.leg = old;
                self.keep_waiting(fault)
            }
        }
    }

    /// Whether a stream may go on elsewhere once the present send is counted; takes the further
    /// send from the budget.
    fn may_go_on(&self, tries: Tries) -> bool {
        let can_resume = self.call.route.is_resumable && self.order.last().is_some();
        let has_time = self.time_left() > LAST_SEND_MS;
        can_resume && has_time && tries.may_send() && self.app.try_retry(&self.call.service)
    }

    /// Whether a chain may be left for another one; takes nothing from the budget.
    pub(super) fn may_leave(&self) -> bool {
        let mut tries = self.tries;
        tries.note(TryEnd::Unknown);
        let has_time = self.time_left() > LAST_SEND_MS;
        has_time && tries.may_send() && self.app.has_retry(&self.call.service)
    }

    /// A chain that is only silent may still bring the rest.
    fn keep_waiting(&mut self, fault: Fault) -> bool {
        self.next_move_at = self.app.clock.now() + MOVE_PAUSE_MS;
        fault.leaves_chain_open() && self.leg.is_some()
    }

    pub(super) fn avoid_chain(&mut self, place: &ChainPlace) {
        let names = place.hops.iter().map(|hop| hop.target.clone());
        self.avoid.extend(names);
    }

    pub(super) fn note_failed_send(&mut self, end: TryEnd, cause: &'static str) {
        self.tries.note(end);
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
            sends = self.tries.sent(),
            "chain gave no stream"
        );
    }

    pub(super) fn note_failure(&mut self, place: &ChainPlace, failure: SendFailure) -> NoLeg {
        let (end, cause) = match failure {
            SendFailure::NotSent => (TryEnd::NotSent, "no connection"),
            SendFailure::Broken => (TryEnd::TargetLost, Fault::ConnectionBroke.as_str()),
            SendFailure::Late => (TryEnd::Unknown, "no answer in time"),
            SendFailure::Foreign => (TryEnd::Unknown, "answer of another request"),
        };
        self.blame_first(place, end);
        NoLeg::Ended(end, cause)
    }

    /// Leaves the target out that a refusal names, or the first of the chain.
    pub(super) fn blame(&mut self, place: &ChainPlace, answer: &Answer) {
        let now = self.app.clock.now();
        let first = &place.hops[0].target;
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
    pub(super) fn blame_first(&self, place: &ChainPlace, end: TryEnd) {
        if !matches!(end, TryEnd::NotSent | TryEnd::TargetLost) {
            return;
        }
        let now = self.app.clock.now();
        let service = &self.call.service;
        let first = place.hops[0].clone();
        self.app.with_chains(service, |chains| {
            chains.record_disconnect(&first.target, now);
        });
        let cause = Fault::ConnectionBroke.as_str();
        probe_hops(&self.app, service, vec![first], cause);
    }
}
