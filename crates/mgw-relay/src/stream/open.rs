//! Opening of a stream on a chain: the choice, the send, and waiting for either.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::http::response::Parts;
use mgw_route::{ChainRequest, ChainReservation, NoChain};
use mgw_world::Millis;
use tokio::time::timeout;

use super::fault::Fault;
use super::leg::{ChainPlace, Leg};
use super::{PauseVerdict, StreamRun};
use crate::callers::{RelayBody, whole_body};
use crate::dialect::TargetHead;
use crate::targets::{Answer, Sending, probe_hops, send};
use crate::tries::{TryEnd, says_not_run};

/// Longest time between two looks for room or targets: other entries free room too.
const LOOK_MS: Millis = Millis(80);
/// Largest body of a target's failure.
const MAX_FAILURE_BYTES: usize = 64 * 1024;

/// Why a leg didn't come about.
pub(super) enum NoLeg {
    NoChain(NoChain),
    Ended(TryEnd, &'static str),
    /// The target answered with a failure of its own.
    Failed(Box<Response<RelayBody>>),
}

/// What became of waiting for something on a chain.
pub(super) enum Waited<T> {
    Done(T),
    /// The chain is given up.
    GivenUp(Fault),
    /// The time of the request is over.
    Over,
}

impl StreamRun {
    /// Sends the request over a chain and waits for the head of the answer.
    pub(super) async fn open(&mut self) -> Result<(Box<Parts>, Leg), NoLeg> {
        let asked_at = self.app.clock.now();
        let chosen = self.choose_waiting().await;
        self.waited_ms += self.app.clock.now() - asked_at;
        let place = chosen.map_err(NoLeg::NoChain)?;
        self.chain = place.describe();
        if self.tries.sent() == 0 {
            self.app.count_first_send(&self.call.service);
        }
        let sent_at = self.app.clock.now();
        let waited = {
            let sending = self.write_sending(&place);
            self.wait_patiently(place.hold, sent_at, send(&self.app, &sending))
                .await
        };
        let answer = match waited {
            Waited::Done(Ok(answer)) => answer,
            Waited::Done(Err(failure)) => return Err(self.note_failure(&place, failure)),
            Waited::GivenUp(fault) => {
                self.avoid_chain(&place);
                return Err(NoLeg::Ended(TryEnd::Unknown, fault.as_str()));
            }
            Waited::Over => {
                return Err(NoLeg::Ended(TryEnd::Unknown, Fault::TimeOver.as_str()));
            }
        };
        self.read_answer(place, answer).await
    }

    async fn read_answer(
        &mut self,
        place: ChainPlace,
        answer: Answer,
    ) -> Result<(Box<Parts>, Leg), NoLeg> {
        if answer.head.not_run {
            self.blame(&place, &answer);
            return Err(NoLeg::Ended(TryEnd::NotRun, "turned away"));
        }
        let status = answer.parts.status;
        if !status.is_success() {
            // Its word that the request didn't run is missing, so the status isn't passed on.
            let is_unproven = says_not_run(status.as_u16());
            if is_unproven || status.is_server_error() && self.tries.sent() == 0 {
                self.avoid.push(place.hops[0].target.clone());
                return Err(NoLeg::Ended(TryEnd::Unknown, "target failed"));
            }
            return Err(pass_failure(answer).await);
        }
        let now = self.app.clock.now();
        let leg = Leg::new(place, answer.body, answer.lent, now);
        Ok((Box::new(answer.parts), leg))
    }

    fn write_sending<'a>(&'a self, place: &'a ChainPlace) -> Sending<'a> {
        let first = &place.hops[0];
        Sending {
            id: &self.call.head.id,
            method: &self.call.method,
            path: &self.call.path,
            headers: &self.call.headers,
            body: &self.call.body,
            address: first.address,
            head: TargetHead {
                time_left_ms: self.time_left(),
                target: &first.target,
                workspace: self.call.workspace.as_ref(),
                chain: &place.hops,
                urgency: self.call.urgency,
                last_event: self.order.last(),
            },
            is_fresh: !self.call.route.may_repeat(),
            limit_ms: self.time_left(),
        }
    }

    /// Chooses a chain; a stream that has sent nothing yet waits a short time for room, and for
    /// targets of which a process that has just started hasn't heard.
    async fn choose_waiting(&self) -> Result<ChainPlace, NoChain> {
        let from = self.app.clock.now();
        let left_ms = self.call.ends_at - from;
        let waiting = self.app.waiting;
        loop {
            let freed = self.app.room.notified();
            let chosen = self.choose();
            let Err(no_chain) = chosen else {
                return chosen;
            };
            let limit_ms = match no_chain {
                _ if self.has_begun => Millis::ZERO,
                NoChain::Full | NoChain::Suspected => waiting.room_ms(left_ms),
                NoChain::Uncovered => waiting.start_ms(left_ms, from),
            };
            let waited_ms = self.app.clock.now() - from;
            if waited_ms >= limit_ms {
                return chosen;
            }
            let look_ms = (limit_ms - waited_ms).min(LOOK_MS);
            // Whether it was told or has waited, it looks again.
            let _ = timeout(look_ms.to_duration(), freed).await;
        }
    }

    fn choose(&self) -> Result<ChainPlace, NoChain> {
        let now = self.app.clock.now();
        let service = &self.call.service;
        let chosen = self.app.with_chains(service, |chains| {
            let model = chains.model();
            let usual_prompt = model.usual_prompt_tokens;
            let usual_answer = model.usual_answer_tokens;
            let head = &self.call.head;
            let answer_tokens = head.expected_answer_tokens.unwrap_or(usual_answer);
            let most = head.max_answer_tokens.unwrap_or(u32::MAX);
            let request = ChainRequest {
                prompt_tokens: head.prompt_tokens.unwrap_or(usual_prompt),
                answer_tokens: answer_tokens.min(most),
                avoid: &self.avoid,
            };
            let chosen = chains.choose(&request, now);
            match chosen {
                Err(NoChain::Uncovered | NoChain::Suspected) if !self.avoid.is_empty() => {
                    let anywhere = ChainRequest {
                        avoid: &[],
                        ..request
                    };
                    chains.choose(&anywhere, now)
                }
                chosen => chosen,
            }
        });
        let chain = chosen.unwrap_or(Err(NoChain::Uncovered))?;
        Ok(ChainPlace::new(
            Arc::clone(&self.app),
            service.clone(),
            chain,
        ))
    }

    /// Waits for something on a chain as long as its silence is no sign of a fault.
    pub(super) async fn wait_patiently<T>(
        &self,
        hold: ChainReservation,
        heard_at: Millis,
        awaited: impl Future<Output = T>,
    ) -> Waited<T> {
        let mut awaited = std::pin::pin!(awaited);
        let patience = self.app.patience;
        loop {
            let now = self.app.clock.now();
            let left = self.call.ends_at - now;
            if left == Millis::ZERO {
                return Waited::Over;
            }
            let pause = now - heard_at;
            let look_ms = patience.next_look(pause, self.has_begun).min(left);
            if let Ok(done) = timeout(look_ms.to_duration(), awaited.as_mut()).await {
                return Waited::Done(done);
            }
            let now = self.app.clock.now();
            if now < self.next_move_at {
                continue;
            }
            match patience.judge(now - heard_at, self.has_begun) {
                PauseVerdict::Wait => {}
                PauseVerdict::Suspect => {
                    self.probe_silent(hold);
                    if self.has_lost(hold) {
                        return Waited::GivenUp(Fault::Silence);
                    }
                }
                PauseVerdict::Move if self.may_leave() => {
                    self.distrust(hold);
                    return Waited::GivenUp(Fault::LongPause);
                }
                // The chain may still answer, and no other one may be asked.
                PauseVerdict::Move => {}
            }
        }
    }

    /// Probes the targets of a chain that have brought nothing to anyone for a while.
    fn probe_silent(&self, hold: ChainReservation) {
        let now = self.app.clock.now();
        let silence_ms = self.app.patience.target_silence_ms;
        let service = &self.call.service;
        let suspicion = self
            .app
            .with_chains(service, |chains| {
                chains.suspect_silent_targets(hold, silence_ms, now)
            })
            .unwrap_or_default();
        probe_hops(
            &self.app,
            service,
            suspicion.to_probe,
            Fault::Silence.as_str(),
        );
    }

    fn has_lost(&self, hold: ChainReservation) -> bool {
        let service = &self.call.service;
        let lost = self
            .app
            .with_chains(service, |chains| chains.has_lost_target(hold));
        lost.unwrap_or_default()
    }

    fn distrust(&self, hold: ChainReservation) {
        let now = self.app.clock.now();
        let silence_ms = self.app.patience.longest_ms;
        self.app.with_chains(&self.call.service, |chains| {
            chains.block_silent_targets(hold, silence_ms, now);
        });
    }
}

async fn pass_failure(answer: Answer) -> NoLeg {
    let body = http_body_util::Limited::new(answer.body, MAX_FAILURE_BYTES);
    match body.collect().await {
        Ok(collected) => {
            let body = whole_body(collected.to_bytes());
            NoLeg::Failed(Box::new(Response::from_parts(answer.parts, body)))
        }
        Err(_) => NoLeg::Ended(TryEnd::Unknown, "answer broke off"),
    }
}
