//! One stream from its request to its last event, over one chain or several in turn.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::response::Parts;
use mgw_route::NoChain;
use mgw_world::{Millis, TargetName};
use tracing::{info, warn};

use super::chain_stream::{ChainStream, ReadOutcome};
use super::fault::StreamFault;
use super::open::{ChainWait, OpenError};
use super::{EventOrder, EventSplitter};
use crate::app::App;
use crate::callers::{Call, Refusal, RelayBody, TruncatedAnswer};
use crate::quarantine::list_subjects;
use crate::request_sends::RequestSends;
use crate::targets::{SentAt, probe_hops};

/// Least time left before the deadline for a stream to be started or moved.
pub(super) const MIN_SEND_TIME_MS: Millis = Millis(100);

/// Most bytes of a chain without a new event; larger than any event.
const MAX_BYTES_WITHOUT_EVENT: usize = 2 * 1024 * 1024;

/// Result of starting a stream.
pub enum StreamStart {
    /// The first events arrived.
    Begun {
        /// Status and header fields of the first target's answer.
        parts: Box<Parts>,
        /// Events that have already arrived.
        first: Bytes,
        /// Source of the remaining events.
        stream: Box<RelayedStream>,
    },
    /// A target answered with a failure instead of events.
    Answered(Box<Response<RelayBody>>),
    /// No target gave an answer that can be passed on.
    Refused(Refusal),
}

/// A stream that is relayed from targets to a caller.
pub struct RelayedStream {
    pub(super) app: Arc<App>,
    pub(super) call: Call,
    pub(super) sends: RequestSends,
    /// Targets of the chains that failed this request.
    pub(super) avoid: Vec<TargetName>,
    pub(super) event_order: EventOrder,
    pub(super) splitter: EventSplitter,
    /// Answer that is being read, none while no chain is open.
    pub(super) chain_stream: Option<ChainStream>,
    /// Description of the last chain that the request was sent over, for log lines.
    pub(super) chain: String,
    /// When the request was sent over that chain.
    pub(super) sent_at: SentAt,
    /// Whether the caller got the first events.
    pub(super) has_begun: bool,
    /// Content type of the answer that the caller gets, once it has begun.
    pub(super) content_type: Option<HeaderValue>,
    /// Total time that the request waited for free capacity or targets.
    pub(super) waited_ms: Millis,
    /// How often the stream moved to another chain.
    pub(super) moves: u32,
    /// Time before which the stream doesn't try to move again.
    pub(super) next_move_at: Millis,
    /// How the stream ended: "whole" or the cause of its failure.
    pub(super) end: Option<&'static str>,
}

impl RelayedStream {
    /// Sends a request and waits for the first events of its answer. Retries on other chains as
    /// long as the route, the retry budget and the deadline allow it.
    pub async fn start(app: Arc<App>, call: Call) -> StreamStart {
        let sends = RequestSends::new(call.route.max_targets, call.route.may_repeat());
        let event_order = EventOrder::after(call.head.last_event);
        let mut stream = Self {
            app,
            call,
            sends,
            avoid: Vec::new(),
            event_order,
            splitter: EventSplitter::default(),
            chain_stream: None,
            chain: String::new(),
            sent_at: SentAt::default(),
            has_begun: false,
            content_type: None,
            waited_ms: Millis::ZERO,
            moves: 0,
            next_move_at: Millis::ZERO,
            end: None,
        };
        if let Err(refusal) = stream.app.admit_stream(&stream.call) {
            stream.end = Some(refusal.reason);
            return StreamStart::Refused(refusal);
        }
        let refusal = loop {
            if stream.time_left() <= MIN_SEND_TIME_MS || !stream.may_send() {
                break stream.refusal_without_answer();
            }
            let opened = stream.open().await;
            match opened {
                Ok((parts, chain_stream)) => {
                    stream.chain_stream = Some(chain_stream);
                    if let Some(first) = stream.wait_for_first_events().await {
                        stream.app.record_admitted_stream(&stream.call);
                        return stream.begin(parts, first);
                    }
                    if stream.time_left() <= MIN_SEND_TIME_MS {
                        break stream.refusal_without_answer();
                    }
                }
                Err(OpenError::FailureAnswer(response)) => {
                    stream.end = Some("target failed");
                    return StreamStart::Answered(response);
                }
                Err(OpenError::NoChain(no_chain)) => {
                    if no_chain != NoChain::Quarantined {
                        stream.log_no_chain(no_chain);
                    }
                    break stream.refusal_for(no_chain);
                }
                Err(OpenError::NoRetry) => break stream.refusal_without_answer(),
                Err(OpenError::SendFailed(outcome, cause)) => {
                    stream.record_failed_send(outcome, cause);
                }
            }
        };
        stream.app.record_refused_stream(&stream.call, refusal);
        stream.end = Some(refusal.reason);
        StreamStart::Refused(refusal)
    }

    /// Returns the next events, or `None` after the last one.
    ///
    /// # Errors
    /// When the rest of the answer can't be had.
    pub async fn next(&mut self) -> Option<Result<Bytes, TruncatedAnswer>> {
        loop {
            let waited = self.read_chain().await;
            let fault = match waited {
                ChainWait::Done(ReadOutcome::Data(data)) => match self.process_data(data) {
                    Ok(Some(events)) => return Some(Ok(events)),
                    Ok(None) => continue,
                    Err(fault) => fault,
                },
                ChainWait::Done(ReadOutcome::End) if !self.splitter.is_mid_event() => {
                    self.finish();
                    return None;
                }
                ChainWait::Done(ReadOutcome::End | ReadOutcome::Broken) => {
                    StreamFault::ConnectionBroke
                }
                ChainWait::Abandoned(fault) => fault,
                ChainWait::DeadlineExceeded => {
                    return Some(Err(self.truncate(StreamFault::TimeOver)));
                }
            };
            if !self.move_to_other_chain(fault).await {
                return Some(Err(self.truncate(fault)));
            }
        }
    }

    /// Time until the deadline of the request.
    pub(super) fn time_left(&self) -> Millis {
        self.call.ends_at - self.app.clock.now()
    }

    /// Whether another send is allowed. Takes nothing from the budget: that is done once a chain is
    /// found, so that retries are left for the requests that can use them.
    fn may_send(&self) -> bool {
        let is_first = self.sends.sent() == 0;
        if is_first {
            return self.sends.may_send();
        }
        self.sends.may_send()
            && self.app.may_repeat(&self.call)
            && self.app.has_retry(&self.call.service)
    }

    /// The refusal for a request that no target answered.
    fn refusal_without_answer(&self) -> Refusal {
        let is_expired = self.time_left() <= MIN_SEND_TIME_MS;
        match (self.sends.may_have_run(), is_expired) {
            (true, true) => Refusal::timed_out(),
            (true, false) => Refusal::answer_lost(),
            (false, true) => Refusal::expired_before_send(),
            (false, false) => Refusal::not_accepted(),
        }
    }

    /// The refusal for a request for which the router found no chain.
    fn refusal_for(&self, no_chain: NoChain) -> Refusal {
        match no_chain {
            _ if self.sends.may_have_run() => self.refusal_without_answer(),
            NoChain::Full => Refusal::full(),
            NoChain::Quarantined => Refusal::quarantined(),
            NoChain::Limited => {
                let service = &self.call.service;
                Refusal::limited(self.app.limited_retry_ms(service, self.call.urgency))
            }
            NoChain::Uncovered | NoChain::Suspected => Refusal::uncovered(),
            NoChain::Paused { until } => Refusal::paused(until - self.app.clock.now()),
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
        self.content_type = parts.headers.get(CONTENT_TYPE).cloned();
        let ms = self.app.clock.now() - self.call.arrived_at;
        self.app.metrics.first_event.observe(to_seconds(ms));
        info!(
            id = %self.call.head.id,
            route = %self.call.route.name,
            service = %self.call.service,
            chain = %self.chain,
            sends = self.sends.sent(),
            waited_ms = self.waited_ms.0,
            first_event_ms = ms.0,
            "stream begun"
        );
        StreamStart::Begun {
            parts,
            first,
            stream: Box::new(self),
        }
    }

    /// Reads the next bytes from the current chain.
    pub(super) async fn read_chain(&mut self) -> ChainWait<ReadOutcome> {
        let Some(mut chain_stream) = self.chain_stream.take() else {
            return ChainWait::Abandoned(StreamFault::ConnectionBroke);
        };
        let (reservation, received_at) =
            (chain_stream.reserved.reservation, chain_stream.received_at);
        let waited = self
            .wait_with_pause_checks(reservation, received_at, chain_stream.read())
            .await;
        self.chain_stream = Some(chain_stream);
        waited
    }

    /// Waits for the first complete events of a chain; `None` if the chain was abandoned.
    async fn wait_for_first_events(&mut self) -> Option<Bytes> {
        loop {
            let fault = match self.read_chain().await {
                ChainWait::Done(ReadOutcome::Data(data)) => match self.process_data(data) {
                    Ok(Some(events)) => return Some(events),
                    Ok(None) => continue,
                    Err(fault) => fault,
                },
                ChainWait::Done(ReadOutcome::End | ReadOutcome::Broken) => {
                    StreamFault::ConnectionBroke
                }
                ChainWait::Abandoned(fault) => fault,
                ChainWait::DeadlineExceeded => StreamFault::TimeOver,
            };
            self.abandon_chain(fault);
            return None;
        }
    }

    /// Leaves a chain that gave no event and records the failed send.
    fn abandon_chain(&mut self, fault: StreamFault) {
        let outcome = fault.to_send_outcome();
        if let Some(chain_stream) = self.chain_stream.take() {
            self.record_ended_targets(&chain_stream.reserved, fault);
            self.record_first_target_disconnect(&chain_stream.reserved, outcome);
            self.avoid_chain(&chain_stream.reserved, fault);
        }
        self.splitter = EventSplitter::default();
        self.record_failed_send(outcome, fault.as_str());
    }

    /// Adds bytes of the chain and returns the complete events that weren't passed on before, or
    /// `None` if there are none. Only new events count as progress: a target may send a byte now and
    /// then and never complete an event, or repeat events and comments without end.
    fn process_data(&mut self, data: Bytes) -> Result<Option<Bytes>, StreamFault> {
        self.count_bytes(data.len())?;
        let complete = self
            .splitter
            .push(data)
            .map_err(|_| StreamFault::EventTooLong)?;
        let Some(events) = complete else {
            return Ok(None);
        };
        let last = self.event_order.last();
        let new_events = self
            .event_order
            .accept(&events)
            .map_err(|_| StreamFault::EventMissing)?;
        if new_events.is_empty() {
            return Ok(None);
        }
        // A stream that may be resumed numbers all its events.
        let needs_numbers = last.is_some() || self.call.route.is_resumable;
        if !needs_numbers || self.event_order.last() > last {
            self.record_progress();
        }
        Ok(Some(new_events))
    }

    /// Counts bytes that arrived over the chain since the last new event.
    fn count_bytes(&mut self, count: usize) -> Result<(), StreamFault> {
        let Some(chain_stream) = &mut self.chain_stream else {
            return Ok(());
        };
        chain_stream.bytes_since += count;
        if chain_stream.bytes_since > MAX_BYTES_WITHOUT_EVENT {
            return Err(StreamFault::NoNewEvent);
        }
        Ok(())
    }

    /// Records that new events arrived. After a long pause the targets of the chain are probed.
    fn record_progress(&mut self) {
        let Some(chain_stream) = &mut self.chain_stream else {
            return;
        };
        let now = self.app.clock.now();
        let pause = now - chain_stream.received_at;
        chain_stream.received_at = now;
        chain_stream.bytes_since = 0;
        let reservation = chain_stream.reserved.reservation;
        if chain_stream.reserved.begun_at.is_some() {
            self.record_sound();
        } else {
            chain_stream.reserved.begun_at = Some(now);
        }
        let is_slow = self.has_begun && pause > self.app.pause_limits.slow_after_ms;
        let service = &self.call.service;
        let probes = self.app.with_chains(service, |chains| {
            chains.record_token(reservation, now);
            is_slow.then(|| chains.start_slowness_probes(reservation, now))
        });
        let probes = probes.flatten().unwrap_or_default();
        probe_hops(&self.app, service, probes, "slow stream");
    }

    /// Records once for each chain that the request is sound there.
    fn record_sound(&mut self) {
        let Some(chain_stream) = &mut self.chain_stream else {
            return;
        };
        let reserved = &mut chain_stream.reserved;
        if let Some(begun_at) = reserved.begun_at
            && !std::mem::replace(&mut reserved.is_sound, true)
        {
            self.app.record_sound_stream(&self.call, begun_at);
        }
    }

    fn log_end(&self, end: &'static str, ms: Millis) {
        if end == "whole" {
            info!(
                id = %self.call.head.id,
                route = %self.call.route.name,
                routing = %self.call.routing,
                service = %self.call.service,
                last_event = self.event_order.last(),
                sends = self.sends.sent(),
                moves = self.moves,
                ms = ms.0,
                "stream ended"
            );
            return;
        }
        // Every failed stream writes this line.
        warn!(
            id = %self.call.head.id,
            route = %self.call.route.name,
            routing = %self.call.routing,
            service = %self.call.service,
            failure = end,
            has_begun = self.has_begun,
            last_event = self.event_order.last(),
            chain = %self.chain,
            avoided = self.avoid.len(),
            subjects = %list_subjects(self.call.subjects()),
            waited_ms = self.waited_ms.0,
            sends = self.sends.sent(),
            moves = self.moves,
            ms = ms.0,
            "stream failed"
        );
    }

    fn finish(&mut self) {
        self.end = Some("whole");
        self.record_sound();
        if let Some(chain_stream) = self.chain_stream.take() {
            chain_stream.finish();
        }
    }

    fn truncate(&mut self, fault: StreamFault) -> TruncatedAnswer {
        self.end = Some(fault.as_str());
        TruncatedAnswer(fault.as_str())
    }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        let end = self.end.unwrap_or("caller left");
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
