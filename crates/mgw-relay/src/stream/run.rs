//! One stream from its request to its last event, over as many chains as it takes.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use mgw_route::{ChainHold, ChainRequest, NoChain};
use mgw_world::{Millis, TargetName};
use tokio::time::timeout;
use tracing::{info, warn};

use super::leg::{ChainPlace, Leg, Piece};
use super::{EventOrder, PauseVerdict, Splitter};
use crate::app::App;
use crate::callers::{Call, CutOff, Refusal, RelayBody, whole_body};
use crate::dialect::TargetHead;
use crate::targets::{Answer, SendFailure, Sending, probe_hops, send};
use crate::tries::{Tries, TryEnd};

/// Time before the end within which a stream isn't started or moved.
const LAST_SEND_MS: Millis = Millis(100);
/// Longest time between two looks for room or targets: other entries free room too.
const LOOK_MS: Millis = Millis(80);
/// Pause after a stream found no other chain to go on at.
const MOVE_PAUSE_MS: Millis = Millis(400);
/// Largest body of a target's failure.
const MAX_FAILURE_BYTES: usize = 64 * 1024;

/// How a stream begins.
pub enum StreamStart {
    /// The first events came.
    Begun {
        /// Status and fields of the first target's answer.
        parts: Box<Parts>,
        /// First events.
        first: Bytes,
        /// The rest.
        run: Box<StreamRun>,
    },
    /// A target answered without events.
    Answered(Box<Response<RelayBody>>),
    /// No target answered.
    Refused(Refusal),
}

/// Why a leg didn't come about.
enum NoLeg {
    NoChain(NoChain),
    Ended(TryEnd, &'static str),
    /// The target answered with a failure of its own.
    Failed(Box<Response<RelayBody>>),
}

/// What became of waiting for something on a chain.
enum Waited<T> {
    Done(T),
    /// The chain is given up; the cause in words.
    GivenUp(&'static str),
    /// The time of the request is over.
    Over,
}

/// A stream that runs.
pub struct StreamRun {
    app: Arc<App>,
    call: Call,
    tries: Tries,
    avoid: Vec<TargetName>,
    order: EventOrder,
    splitter: Splitter,
    leg: Option<Leg>,
    has_begun: bool,
    moves: u32,
    next_move_at: Millis,
    ended: Option<&'static str>,
}

impl StreamRun {
    /// Sends a request and waits for the first events of its answer.
    pub async fn start(app: Arc<App>, call: Call) -> StreamStart {
        let tries = Tries::new(call.route.max_targets, call.route.may_repeat());
        let order = EventOrder::after(call.head.last_event);
        let mut run = Self {
            app,
            call,
            tries,
            avoid: Vec::new(),
            order,
            splitter: Splitter::default(),
            leg: None,
            has_begun: false,
            moves: 0,
            next_move_at: Millis::ZERO,
            ended: None,
        };
        let refusal = loop {
            if run.time_left() <= LAST_SEND_MS || !run.may_send() {
                break run.give_up();
            }
            let opened = run.open().await;
            match opened {
                Ok((parts, leg)) => {
                    run.leg = Some(leg);
                    if let Some(first) = run.wait_for_first().await {
                        return run.begin(parts, first);
                    }
                    if run.time_left() <= LAST_SEND_MS {
                        break run.give_up();
                    }
                }
                Err(NoLeg::Failed(response)) => {
                    run.ended = Some("target failed");
                    return StreamStart::Answered(response);
                }
                Err(NoLeg::NoChain(no_chain)) => {
                    run.log_no_chain(no_chain);
                    break run.refuse(no_chain);
                }
                Err(NoLeg::Ended(end, cause)) => run.note_failed_send(end, cause),
            }
        };
        run.ended = Some(refusal.reason);
        StreamStart::Refused(refusal)
    }

    /// The next events; none after the last one.
    ///
    /// # Errors
    /// When the answer can't be made whole.
    pub async fn next(&mut self) -> Option<Result<Bytes, CutOff>> {
        loop {
            let waited = self.wait_for_piece().await;
            let cause = match waited {
                Waited::Done(Piece::Data(data)) => match self.take_data(data) {
                    Ok(Some(events)) => return Some(Ok(events)),
                    Ok(None) => continue,
                    Err(cause) => cause,
                },
                Waited::Done(Piece::End) if !self.splitter.is_mid_event() => {
                    self.finish();
                    return None;
                }
                Waited::Done(Piece::End | Piece::Broken) => "connection broke",
                Waited::GivenUp(cause) => cause,
                Waited::Over => return Some(Err(self.cut_off("time is over"))),
            };
            let is_broken = !matches!(cause, "silence" | "long pause");
            if !self.go_on(cause, is_broken).await {
                return Some(Err(self.cut_off(cause)));
            }
        }
    }

    fn time_left(&self) -> Millis {
        self.call.ends_at - self.app.clock.now()
    }

    /// Whether another send is allowed; a further one is taken from the budget.
    fn may_send(&self) -> bool {
        let is_first = self.tries.sent() == 0;
        self.tries.may_send() && (is_first || self.app.try_retry(&self.call.service))
    }

    fn give_up(&self) -> Refusal {
        let is_over = self.time_left() <= LAST_SEND_MS;
        match (self.tries.may_have_run(), is_over) {
            (true, true) => Refusal::timed_out(),
            (true, false) => Refusal::unknown(),
            (false, true) => Refusal::too_late(),
            (false, false) => Refusal::not_taken(),
        }
    }

    fn refuse(&self, no_chain: NoChain) -> Refusal {
        match no_chain {
            _ if self.tries.may_have_run() => self.give_up(),
            NoChain::Full => Refusal::full(),
            NoChain::Uncovered | NoChain::Suspected => Refusal::uncovered(),
        }
    }

    fn log_no_chain(&self, no_chain: NoChain) {
        let now = self.app.clock.now();
        let service = &self.call.service;
        let load = self.app.with_chains(service, |chains| chains.load(now));
        let load = load.unwrap_or_default();
        warn!(
            id = %self.call.head.id,
            %service,
            cause = %no_chain,
            avoided = self.avoid.len(),
            targets = load.targets,
            blocked = load.blocked,
            requests = load.requests,
            entries = load.entries,
            knows_others = load.knows_others,
            used_share = load.used_share,
            "no chain for a stream"
        );
    }

    fn begin(mut self, mut parts: Box<Parts>, first: Bytes) -> StreamStart {
        self.has_begun = true;
        let ms = self.app.clock.now() - self.call.arrived_at;
        self.app.metrics.first_event.observe(to_seconds(ms));
        parts.headers.remove(CONTENT_LENGTH);
        parts.headers.remove(TRANSFER_ENCODING);
        info!(
            id = %self.call.head.id,
            route = %self.call.route.name,
            service = %self.call.service,
            chain = %self.describe_chain(),
            sends = self.tries.sent(),
            first_event_ms = ms.0,
            "stream begun"
        );
        StreamStart::Begun {
            parts,
            first,
            run: Box::new(self),
        }
    }

    fn describe_chain(&self) -> String {
        let hops = self.leg.iter().flat_map(|leg| &leg.place.hops);
        let hops: Vec<String> = hops
            .map(|hop| format!("{}={}", hop.target, hop.layers))
            .collect();
        hops.join(",")
    }

    /// Sends the request over a chain and waits for the head of the answer.
    async fn open(&mut self) -> Result<(Box<Parts>, Leg), NoLeg> {
        let place = self.choose_waiting().await.map_err(NoLeg::NoChain)?;
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
            Waited::GivenUp(cause) => {
                self.avoid_chain(&place);
                return Err(NoLeg::Ended(TryEnd::Unknown, cause));
            }
            Waited::Over => return Err(NoLeg::Ended(TryEnd::Unknown, "time is over")),
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
            let is_promise = matches!(status.as_u16(), 408 | 421 | 429 | 503);
            if is_promise || status.is_server_error() && self.tries.sent() == 0 {
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
    async fn wait_patiently<T>(
        &self,
        hold: ChainHold,
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
                PauseVerdict::Suspect if self.is_silent(hold) => {
                    return Waited::GivenUp("silence");
                }
                PauseVerdict::Suspect => {}
                PauseVerdict::Move => {
                    self.is_silent(hold);
                    return Waited::GivenUp("long pause");
                }
            }
        }
    }

    /// Whether targets of a chain have brought nothing to anyone for a while; those are probed.
    fn is_silent(&self, hold: ChainHold) -> bool {
        let now = self.app.clock.now();
        let silence_ms = self.app.patience.target_silence_ms;
        let service = &self.call.service;
        let suspicion = self
            .app
            .with_chains(service, |chains| chains.suspect(hold, silence_ms, now))
            .unwrap_or_default();
        probe_hops(&self.app, service, suspicion.probes, "silence");
        suspicion.silent > 0
    }

    async fn wait_for_piece(&mut self) -> Waited<Piece> {
        let Some(mut leg) = self.leg.take() else {
            return Waited::GivenUp("no chain");
        };
        let (hold, heard_at) = (leg.place.hold, leg.heard_at);
        let waited = self.wait_patiently(hold, heard_at, leg.read()).await;
        self.leg = Some(leg);
        waited
    }

    /// Waits for the first whole events of a chain; none when the chain was given up.
    async fn wait_for_first(&mut self) -> Option<Bytes> {
        loop {
            let cause = match self.wait_for_piece().await {
                Waited::Done(Piece::Data(data)) => match self.take_data(data) {
                    Ok(Some(events)) => return Some(events),
                    Ok(None) => continue,
                    Err(cause) => cause,
                },
                Waited::Done(Piece::End | Piece::Broken) => "connection broke",
                Waited::GivenUp(cause) => cause,
                Waited::Over => "time is over",
            };
            self.drop_leg(cause);
            return None;
        }
    }

    fn drop_leg(&mut self, cause: &'static str) {
        let end = if cause == "connection broke" {
            TryEnd::TargetLost
        } else {
            TryEnd::Unknown
        };
        if let Some(leg) = self.leg.take() {
            self.blame_first(&leg.place, end);
            self.avoid_chain(&leg.place);
        }
        self.splitter = Splitter::default();
        self.note_failed_send(end, cause);
    }

    fn take_data(&mut self, data: Bytes) -> Result<Option<Bytes>, &'static str> {
        let now = self.app.clock.now();
        if let Some(leg) = &mut self.leg {
            let pause = now - leg.heard_at;
            leg.heard_at = now;
            let hold = leg.place.hold;
            let is_slow = self.has_begun && pause > self.app.patience.slow_ms;
            let service = &self.call.service;
            let probes = self.app.with_chains(service, |chains| {
                chains.hear(hold, now);
                is_slow.then(|| chains.inspect(hold, now))
            });
            let probes = probes.flatten().unwrap_or_default();
            probe_hops(&self.app, service, probes, "slow stream");
        }
        let whole = self.splitter.push(data).map_err(|_| "event too long")?;
        let Some(events) = whole else {
            return Ok(None);
        };
        let due = self.order.take(&events).map_err(|_| "event missing")?;
        Ok((!due.is_empty()).then_some(due))
    }

    /// Goes on at another chain after the last event; false when that can't be done.
    async fn go_on(&mut self, cause: &'static str, is_broken: bool) -> bool {
        let end = if is_broken {
            TryEnd::TargetLost
        } else {
            TryEnd::Unknown
        };
        let mut tries = self.tries;
        tries.note(end);
        if !self.may_go_on(tries) {
            return self.keep_waiting(is_broken);
        }
        let old = self.leg.take();
        if let Some(leg) = &old {
            self.blame_first(&leg.place, end);
            self.avoid_chain(&leg.place);
        }
        let from = self.describe(&old);
        match self.open().await {
            Ok((_, leg)) => {
                self.tries = tries;
                self.moves += 1;
                self.splitter = Splitter::default();
                self.leg = Some(leg);
                self.app.metrics.moves.with_label_values(&[cause]).inc();
                warn!(
                    id = %self.call.head.id,
                    cause,
                    after_event = self.order.last(),
                    from,
                    to = %self.describe_chain(),
                    "stream goes on at another chain"
                );
                true
            }
            Err(no_leg) => {
                if let NoLeg::Ended(end, cause) = &no_leg {
                    self.note_failed_send(*end, cause);
                }
                warn!(id = %self.call.head.id, cause, from, "stream found no other chain");
                self.leg = old;
                self.keep_waiting(is_broken)
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

    fn describe(&self, leg: &Option<Leg>) -> String {
        let hops = leg.iter().flat_map(|leg| &leg.place.hops);
        let names: Vec<&str> = hops.map(|hop| hop.target.as_str()).collect();
        names.join(",")
    }

    /// A chain that is only silent may still bring the rest.
    fn keep_waiting(&mut self, is_broken: bool) -> bool {
        self.next_move_at = self.app.clock.now() + MOVE_PAUSE_MS;
        !is_broken && self.leg.is_some()
    }

    fn avoid_chain(&mut self, place: &ChainPlace) {
        let names = place.hops.iter().map(|hop| hop.target.clone());
        self.avoid.extend(names);
    }

    fn note_failed_send(&mut self, end: TryEnd, cause: &'static str) {
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

    fn note_failure(&mut self, place: &ChainPlace, failure: SendFailure) -> NoLeg {
        let (end, cause) = match failure {
            SendFailure::NotSent => (TryEnd::NotSent, "no connection"),
            SendFailure::Broken => (TryEnd::TargetLost, "connection broke"),
            SendFailure::Late => (TryEnd::Unknown, "no answer in time"),
            SendFailure::Foreign => (TryEnd::Unknown, "answer of another request"),
        };
        self.blame_first(place, end);
        NoLeg::Ended(end, cause)
    }

    /// Leaves the target out that a refusal names, or the first of the chain.
    fn blame(&mut self, place: &ChainPlace, answer: &Answer) {
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
    fn blame_first(&self, place: &ChainPlace, end: TryEnd) {
        if !matches!(end, TryEnd::NotSent | TryEnd::TargetLost) {
            return;
        }
        let now = self.app.clock.now();
        let service = &self.call.service;
        let first = place.hops[0].clone();
        self.app
            .with_chains(service, |chains| chains.block(&first.target, now));
        probe_hops(&self.app, service, vec![first], "connection broke");
    }

    fn finish(&mut self) {
        self.ended = Some("whole");
        if let Some(leg) = self.leg.take() {
            leg.finish();
        }
    }

    fn cut_off(&mut self, cause: &'static str) -> CutOff {
        self.ended = Some(cause);
        CutOff(cause)
    }
}

impl Drop for StreamRun {
    fn drop(&mut self) {
        let end = self.ended.unwrap_or("caller left");
        let ms = self.app.clock.now() - self.call.arrived_at;
        self.app.metrics.whole_answer.observe(to_seconds(ms));
        let outcome = if end == "whole" {
            "whole"
        } else {
            "cut or refused"
        };
        self.app
            .metrics
            .requests
            .with_label_values(&["stream", outcome])
            .inc();
        info!(
            id = %self.call.head.id,
            route = %self.call.route.name,
            routing = %self.call.routing,
            service = %self.call.service,
            end,
            has_begun = self.has_begun,
            last_event = self.order.last(),
            sends = self.tries.sent(),
            moves = self.moves,
            ms = ms.0,
            "stream ended"
        );
    }
}

async fn pass_failure(answer: Answer) -> NoLeg {
    let body = http_body_util::Limited::new(answer.body, MAX_FAILURE_BYTES);
    match body.collect().await {
        Ok(collected) => {
            let mut parts = answer.parts;
            parts.headers.remove(CONTENT_LENGTH);
            parts.headers.remove(TRANSFER_ENCODING);
            let body = whole_body(collected.to_bytes());
            NoLeg::Failed(Box::new(Response::from_parts(parts, body)))
        }
        Err(_) => NoLeg::Ended(TryEnd::Unknown, "answer broke off"),
    }
}

fn to_seconds(span: Millis) -> f64 {
    span.0 as f64 / 1_000.0
}
