//! One stream from its request to its last event, over as many chains as it takes.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use hyper::http::response::Parts;
use mgw_route::NoChain;
use mgw_world::{Millis, TargetName};
use tracing::{info, warn};

use super::fault::Fault;
use super::leg::{Leg, Piece};
use super::open::{NoLeg, Waited};
use super::{EventOrder, Splitter};
use crate::app::App;
use crate::callers::{Call, CutOff, Refusal, RelayBody};
use crate::targets::probe_hops;
use crate::tries::Tries;

/// Time before the end within which a stream isn't started or moved.
pub(super) const LAST_SEND_MS: Millis = Millis(100);

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

/// A stream that runs.
pub struct StreamRun {
    pub(super) app: Arc<App>,
    pub(super) call: Call,
    pub(super) tries: Tries,
    pub(super) avoid: Vec<TargetName>,
    pub(super) order: EventOrder,
    pub(super) splitter: Splitter,
    pub(super) leg: Option<Leg>,
    /// The last chain that it was sent over, for the log.
    pub(super) chain: String,
    pub(super) has_begun: bool,
    /// Time that it waited for room or targets.
    pub(super) waited_ms: Millis,
    pub(super) moves: u32,
    pub(super) next_move_at: Millis,
    pub(super) ended: Option<&'static str>,
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
            chain: String::new(),
            has_begun: false,
            waited_ms: Millis::ZERO,
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
            let fault = match waited {
                Waited::Done(Piece::Data(data)) => match self.take_data(data) {
                    Ok(Some(events)) => return Some(Ok(events)),
                    Ok(None) => continue,
                    Err(fault) => fault,
                },
                Waited::Done(Piece::End) if !self.splitter.is_mid_event() => {
                    self.finish();
                    return None;
                }
                Waited::Done(Piece::End | Piece::Broken) => Fault::ConnectionBroke,
                Waited::GivenUp(fault) => fault,
                Waited::Over => return Some(Err(self.cut_off(Fault::TimeOver))),
            };
            if !self.go_on(fault).await {
                return Some(Err(self.cut_off(fault)));
            }
        }
    }

    pub(super) fn time_left(&self) -> Millis {
        self.call.ends_at - self.app.clock.now()
    }

    /// Whether another send is allowed; a further one is taken from the budget.
    pub(super) fn may_send(&self) -> bool {
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
            knows_others = load.knows_other_entries,
            used_share = load.used_share,
            "no chain for a stream"
        );
    }

    fn begin(mut self, parts: Box<Parts>, first: Bytes) -> StreamStart {
        self.has_begun = true;
        let ms = self.app.clock.now() - self.call.arrived_at;
        self.app.metrics.first_event.observe(to_seconds(ms));
        info!(
            id = %self.call.head.id,
            route = %self.call.route.name,
            service = %self.call.service,
            chain = %self.chain,
            sends = self.tries.sent(),
            waited_ms = self.waited_ms.0,
            first_event_ms = ms.0,
            "stream begun"
        );
        StreamStart::Begun {
            parts,
            first,
            run: Box::new(self),
        }
    }

    pub(super) async fn wait_for_piece(&mut self) -> Waited<Piece> {
        let Some(mut leg) = self.leg.take() else {
            return Waited::GivenUp(Fault::ConnectionBroke);
        };
        let (hold, heard_at) = (leg.place.hold, leg.heard_at);
        let waited = self.wait_patiently(hold, heard_at, leg.read()).await;
        self.leg = Some(leg);
        waited
    }

    /// Waits for the first whole events of a chain; none when the chain was given up.
    async fn wait_for_first(&mut self) -> Option<Bytes> {
        loop {
            let fault = match self.wait_for_piece().await {
                Waited::Done(Piece::Data(data)) => match self.take_data(data) {
                    Ok(Some(events)) => return Some(events),
                    Ok(None) => continue,
                    Err(fault) => fault,
                },
                Waited::Done(Piece::End | Piece::Broken) => Fault::ConnectionBroke,
                Waited::GivenUp(fault) => fault,
                Waited::Over => Fault::TimeOver,
            };
            self.drop_leg(fault);
            return None;
        }
    }

    fn drop_leg(&mut self, fault: Fault) {
        let end = fault.to_end();
        if let Some(leg) = self.leg.take() {
            self.blame_first(&leg.place, end);
            self.avoid_chain(&leg.place);
        }
        self.splitter = Splitter::default();
        self.note_failed_send(end, fault.as_str());
    }

    fn take_data(&mut self, data: Bytes) -> Result<Option<Bytes>, Fault> {
        let now = self.app.clock.now();
        if let Some(leg) = &mut self.leg {
            let pause = now - leg.heard_at;
            leg.heard_at = now;
            let hold = leg.place.hold;
            let is_slow = self.has_begun && pause > self.app.patience.slow_ms;
            let service = &self.call.service;
            let probes = self.app.with_chains(service, |chains| {
                chains.record_token(hold, now);
                is_slow.then(|| chains.start_slowness_probes(hold, now))
            });
            let probes = probes.flatten().unwrap_or_default();
            probe_hops(&self.app, service, probes, "slow stream");
        }
        let whole = self.splitter.push(data).map_err(|_| Fault::EventTooLong)?;
        let Some(events) = whole else {
            return Ok(None);
        };
        let due = self.order.take(&events).map_err(|_| Fault::EventMissing)?;
        Ok((!due.is_empty()).then_some(due))
    }

    fn log_end(&self, end: &'static str, ms: Millis) {
        if end == "whole" {
            info!(
                id = %self.call.head.id,
                route = %self.call.route.name,
                routing = %self.call.routing,
                service = %self.call.service,
                last_event = self.order.last(),
                sends = self.tries.sent(),
                moves = self.moves,
                ms = ms.0,
                "stream ended"
            );
            return;
        }
        // The end of a failed stream; its line is never left out.
        warn!(
            id = %self.call.head.id,
            route = %self.call.route.name,
            routing = %self.call.routing,
            service = %self.call.service,
            failure = end,
            has_begun = self.has_begun,
            last_event = self.order.last(),
            chain = %self.chain,
            avoided = self.avoid.len(),
            waited_ms = self.waited_ms.0,
            sends = self.tries.sent(),
            moves = self.moves,
            ms = ms.0,
            "stream failed"
        );
    }

    fn finish(&mut self) {
        self.ended = Some("whole");
        if let Some(leg) = self.leg.take() {
            leg.finish();
        }
    }

    fn cut_off(&mut self, fault: Fault) -> CutOff {
        self.ended = Some(fault.as_str());
        CutOff(fault.as_str())
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
        self.log_end(end, ms);
    }
}

fn to_seconds(span: Millis) -> f64 {
    span.0 as f64 / 1_000.0
}
