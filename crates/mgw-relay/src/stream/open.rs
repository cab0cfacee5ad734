//! Opens a stream on a chain: chooses the chain, sends the request and waits for the answer.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use mgw_route::{ChainRequest, ChainReservation, NoChain};
use mgw_world::Millis;
use tokio::time::timeout;

use super::chain_stream::{ChainStream, ReservedChain};
use super::fault::StreamFault;
use super::{PauseAction, RelayedStream};
use crate::callers::{RelayBody, full_body};
use crate::dialect::TargetHead;
use crate::request_sends::{SendOutcome, says_not_run};
use crate::targets::{Answer, OutboundRequest, probe_hops, send};

/// Longest time between two checks for free capacity or new targets. Capacity that other entries
/// free isn't notified here.
const CHECK_INTERVAL_MS: Millis = Millis(80);
/// Largest body of a failure answer that is passed on to the caller.
const MAX_FAILURE_BYTES: usize = 64 * 1024;

/// Why no stream was opened.
pub(super) enum OpenError {
    /// The router found no chain.
    NoChain(NoChain),
    /// A chain was found, but the retry budget is spent.
    NoRetry,
    /// The send failed, with its outcome and the cause for log lines.
    SendFailed(SendOutcome, &'static str),
    /// The target answered with a status that isn't a success.
    FailureAnswer(Box<Response<RelayBody>>),
}

/// Result of waiting for a chain.
pub(super) enum ChainWait<T> {
    /// The awaited operation finished.
    Done(T),
    /// The chain paused for too long, so the stream leaves it.
    Abandoned(StreamFault),
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

impl RelayedStream {
    /// Sends the request over a chain and waits for the head of the answer.
    pub(super) async fn open(&mut self) -> Result<(Box<Parts>, ChainStream), OpenError> {
        let started_at = self.app.clock.now();
        let chosen = self.choose_with_wait().await;
        self.waited_ms += self.app.clock.now() - started_at;
        let mut reserved = chosen.map_err(OpenError::NoChain)?;
        let is_retry = self.has_begun || self.sends.sent() > 0;
        if is_retry && !self.app.try_retry(&self.call.service) {
            return Err(OpenError::NoRetry);
        }
        self.chain = reserved.describe();
        if self.sends.sent() == 0 {
            self.app.count_first_send(&self.call.service);
        }
        let sent_at = self.app.clock.now();
        self.sent_at.set(None);
        reserved.sent_at = sent_at;
        let waited = {
            let outbound = self.outbound_request(&reserved);
            self.wait_with_pause_checks(reserved.reservation, sent_at, send(&self.app, &outbound))
                .await
        };
        let answer = match waited {
            ChainWait::Done(Ok(answer)) => answer,
            ChainWait::Done(Err(failure)) => {
                return Err(self.record_send_failure(&reserved, failure));
            }
            ChainWait::Abandoned(fault) => {
                self.record_ended_targets(&reserved, fault);
                self.avoid_chain(&reserved, fault);
                return Err(OpenError::SendFailed(SendOutcome::Unknown, fault.as_str()));
            }
            ChainWait::DeadlineExceeded => {
                return Err(OpenError::SendFailed(
                    SendOutcome::Unknown,
                    StreamFault::TimeOver.as_str(),
                ));
            }
        };
        self.read_answer(reserved, answer).await
    }

    async fn read_answer(
        &mut self,
        reserved: ReservedChain,
        answer: Answer,
    ) -> Result<(Box<Parts>, ChainStream), OpenError> {
        if answer.head.not_run {
            self.block_target_at_fault(&reserved, &answer);
            return Err(OpenError::SendFailed(SendOutcome::NotRun, "turned away"));
        }
        let status = answer.parts.status;
        if !status.is_success() {
            // Such a status tells the caller that the request didn't run, but the target didn't
            // state that, so the status isn't passed on.
            let is_unconfirmed = says_not_run(status.as_u16());
            if is_unconfirmed || status.is_server_error() && self.sends.sent() == 0 {
                self.avoid.push(reserved.hops[0].target.clone());
                return Err(OpenError::SendFailed(SendOutcome::Unknown, "target failed"));
            }
            return Err(pass_failure(answer, self.time_left()).await);
        }
        if self.has_begun && answer.parts.headers.get(CONTENT_TYPE) != self.content_type.as_ref() {
            self.avoid.push(reserved.hops[0].target.clone());
            return Err(OpenError::SendFailed(
                SendOutcome::Unknown,
                "answer isn't the rest of the stream",
            ));
        }
        let now = self.app.clock.now();
        let chain_stream = ChainStream::new(reserved, answer.body, answer.connection, now);
        Ok((Box::new(answer.parts), chain_stream))
    }

    fn outbound_request<'a>(&'a self, reserved: &'a ReservedChain) -> OutboundRequest<'a> {
        let first = &reserved.hops[0];
        OutboundRequest {
            id: &self.call.head.id,
            method: &self.call.method,
            path: &self.call.path,
            headers: &self.call.headers,
            body: &self.call.body,
            address: first.address,
            incarnation: first.incarnation,
            head: TargetHead {
                time_left_ms: self.time_left(),
                target: &first.target,
                workspace: self.call.workspace.as_ref(),
                chain: &reserved.hops,
                urgency: self.call.urgency,
                last_event: self.event_order.last(),
            },
            needs_new_connection: self.has_begun || self.sends.needs_new_connection(),
            timeout_ms: self.time_left(),
            sent_at: &self.sent_at,
        }
    }

    /// Chooses a chain. A stream that hasn't begun waits a short time for free capacity, or for
    /// targets that a process which has just started doesn't know yet.
    async fn choose_with_wait(&self) -> Result<ReservedChain, NoChain> {
        let started_at = self.app.clock.now();
        let left_ms = self.call.ends_at - started_at;
        let wait_limits = self.app.wait_limits;
        let service = &self.call.service;
        let urgency = self.app.waiting_urgency(&self.call);
        let mut waiter = None;
        loop {
            let may_try = self.has_begun || self.app.waiters.may_try(service, urgency);
            let chosen = if may_try {
                self.choose()
            } else {
                Err(NoChain::Full)
            };
            let Err(no_chain) = chosen else {
                return chosen;
            };
            let limit_ms = match no_chain {
                _ if self.has_begun => Millis::ZERO,
                NoChain::Quarantined | NoChain::Limited => Millis::ZERO,
                NoChain::Full | NoChain::Suspected => wait_limits.capacity_wait_ms(left_ms),
                NoChain::Paused { until } => wait_limits.pause_wait_ms(left_ms, until - started_at),
                NoChain::Uncovered => wait_limits.startup_wait_ms(left_ms, started_at),
            };
            let waited_ms = self.app.clock.now() - started_at;
            if waited_ms >= limit_ms || !self.may_be_in_time(urgency, limit_ms - waited_ms) {
                return chosen;
            }
            let Some(waiter) = &waiter else {
                // Tries once more, as room may have been released before it joined.
                waiter = Some(self.app.waiters.join(service, urgency));
                continue;
            };
            let check_interval_ms = (limit_ms - waited_ms).min(CHECK_INTERVAL_MS);
            // Checks again after a notification as well as after the timeout.
            let _ = timeout(check_interval_ms.to_duration(), waiter.freed()).await;
        }
    }

    /// Whether the more urgent requests that wait leave room for this one within the time that it may wait,
    /// and while its answer is still in time.
    fn may_be_in_time(&self, urgency: u8, limit_ms: Millis) -> bool {
        let expected_ms = self
            .app
            .waiters
            .expected_wait_ms(&self.call.service, urgency);
        let objective_ms = self.call.route.target_latency_ms;
        let since_ms = self.app.clock.now() - self.call.arrived_at;
        let in_time_ms = if objective_ms == Millis::ZERO {
            limit_ms
        } else {
            limit_ms.min(objective_ms - since_ms)
        };
        expected_ms.is_none_or(|expected_ms| expected_ms <= in_time_ms)
    }

    /// Chooses a chain.
    fn choose(&self) -> Result<ReservedChain, NoChain> {
        if !self.app.knows_quarantine() {
            return Err(NoChain::Uncovered);
        }
        if self.app.is_quarantined(&self.call, self.sends.sent()) {
            return Err(NoChain::Quarantined);
        }
        let now = self.app.clock.now();
        let service = &self.call.service;
        let mut limits = self.app.rate_limits.lock();
        let chosen = self.app.with_chains(service, |chains| {
            let model = chains.model();
            let usual_prompt = model.usual_prompt_tokens;
            let usual_answer = model.usual_answer_tokens;
            let head = &self.call.head;
            let answer_tokens = head.expected_answer_tokens.unwrap_or(usual_answer);
            let max_answer_tokens = head.max_answer_tokens.unwrap_or(u32::MAX);
            let request = ChainRequest {
                prompt_tokens: head.prompt_tokens.unwrap_or(usual_prompt),
                answer_tokens: answer_tokens.min(max_answer_tokens),
                avoid: &self.avoid,
                limits: None,
            };
            chains.choose_within_limits(&request, &mut limits, now)
        });
        drop(limits);
        let chain = chosen.unwrap_or(Err(NoChain::Uncovered))?;
        Ok(ReservedChain::new(
            Arc::clone(&self.app),
            service.clone(),
            chain,
        ))
    }

    /// Waits for an operation on a chain, and stops waiting when a pause indicates a fault of the
    /// chain and the stream may move.
    pub(super) async fn wait_with_pause_checks<T>(
        &self,
        reservation: ChainReservation,
        received_at: Millis,
        awaited: impl Future<Output = T>,
    ) -> ChainWait<T> {
        let mut awaited = std::pin::pin!(awaited);
        let pause_limits = self.app.pause_limits;
        loop {
            let now = self.app.clock.now();
            let left = self.call.ends_at - now;
            if left == Millis::ZERO {
                return ChainWait::DeadlineExceeded;
            }
            let pause = now - received_at;
            let check_interval_ms = pause_limits
                .time_to_next_check(pause, self.has_begun)
                .min(left);
            if let Ok(done) = timeout(check_interval_ms.to_duration(), awaited.as_mut()).await {
                return ChainWait::Done(done);
            }
            let now = self.app.clock.now();
            if now < self.next_move_at {
                continue;
            }
            if self.has_lost_links() && self.could_move() {
                return ChainWait::Abandoned(StreamFault::OwnLinks);
            }
            match pause_limits.action_for(now - received_at, self.has_begun) {
                PauseAction::Wait => {}
                PauseAction::Probe => {
                    self.probe_silent_targets(reservation);
                    if self.has_lost_target(reservation) {
                        return ChainWait::Abandoned(StreamFault::Silence);
                    }
                }
                PauseAction::Move if self.could_move() => {
                    self.block_silent_targets(reservation);
                    return ChainWait::Abandoned(StreamFault::LongPause);
                }
                // The chain may still answer, and the stream may not move to another one.
                PauseAction::Move => {}
            }
        }
    }

    /// Whether the entry's own links were cut after the request was sent, so that the chain's silence isn't its
    /// targets' fault.
    fn has_lost_links(&self) -> bool {
        let cut_since = self.app.links.health().cut_since();
        let times = cut_since.zip(self.sent_at.get());
        times.is_some_and(|(since, sent_at)| sent_at < since)
    }

    /// Probes the targets of a chain that have delivered nothing to any stream for a while.
    fn probe_silent_targets(&self, reservation: ChainReservation) {
        let now = self.app.clock.now();
        let probe_after_ms = self.app.pause_limits.target_silent_after_ms;
        let service = &self.call.service;
        let silent_targets = self
            .app
            .with_chains(service, |chains| {
                chains.suspect_silent_targets(reservation, probe_after_ms, now)
            })
            .unwrap_or_default();
        probe_hops(
            &self.app,
            service,
            silent_targets.to_probe,
            StreamFault::Silence.as_str(),
        );
    }

    /// Whether a target of the chain failed its probe.
    fn has_lost_target(&self, reservation: ChainReservation) -> bool {
        let service = &self.call.service;
        let lost = self
            .app
            .with_chains(service, |chains| chains.has_lost_target(reservation));
        lost.unwrap_or_default()
    }

    /// Blocks the targets of a chain that were silent during the whole pause.
    fn block_silent_targets(&self, reservation: ChainReservation) {
        let now = self.app.clock.now();
        let probe_after_ms = self.app.pause_limits.move_after_ms;
        self.app.with_chains(&self.call.service, |chains| {
            chains.block_silent_targets(reservation, probe_after_ms, now);
        });
    }
}

/// Reads a failure answer whole within `left_ms`, so that it can be passed on to the caller.
async fn pass_failure(answer: Answer, left_ms: Millis) -> OpenError {
    let body = http_body_util::Limited::new(answer.body, MAX_FAILURE_BYTES);
    match timeout(left_ms.to_duration(), body.collect()).await {
        Ok(Ok(collected)) => {
            let body = full_body(collected.to_bytes());
            OpenError::FailureAnswer(Box::new(Response::from_parts(answer.parts, body)))
        }
        Ok(Err(_)) => {
            OpenError::SendFailed(SendOutcome::Unknown, "answer broke off or is too long")
        }
        Err(_) => OpenError::SendFailed(SendOutcome::Unknown, StreamFault::TimeOver.as_str()),
    }
}
