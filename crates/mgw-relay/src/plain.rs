//! Plain calls, whose answers are read whole before they are passed on.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use hyper::http::response::Parts;
use mgw_route::{BrokenSend, TargetEnd};
use mgw_world::{Millis, TargetName};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::app::App;
use crate::callers::{Call, Refusal, RelayBody, full_body};
use crate::dialect::TargetHead;
use crate::request_sends::{RequestSends, SendOutcome, says_not_run};
use crate::targets::{
    NoTarget, OutboundRequest, PlainReservation, SentAt, probe_plain_after_break, send,
};

/// Least time that a target gets to answer an idempotent call before another one is tried.
const MIN_SEND_TIMEOUT_MS: Millis = Millis(250);
/// Time between two checks for a first target.
const CHECK_INTERVAL_MS: Millis = Millis(50);
/// Least time left before the deadline for a call to be sent.
const MIN_SEND_TIME_MS: Millis = Millis(20);
/// Time reserved before the deadline for the refusal that reports a failure.
const REFUSAL_MARGIN_MS: Millis = Millis(5);

/// An answer of a target that was read to its end.
struct FullAnswer {
    parts: Parts,
    body: Bytes,
}

/// Result of one send.
enum SendResult {
    /// An answer to pass on.
    Answered(FullAnswer),
    /// A server error; another target may succeed.
    Failed(FullAnswer),
    /// No answer, with the outcome of the send and the cause for log lines.
    NoAnswer(SendOutcome, &'static str),
}

/// A call in flight at a target, released in the balancer when dropped.
struct ReservedTarget {
    app: Arc<App>,
    reservation: PlainReservation,
    failed: bool,
}

impl Drop for ReservedTarget {
    fn drop(&mut self) {
        let now = self.app.clock.now();
        self.app
            .with_plain_balancer(|balancer| balancer.release(&self.reservation, self.failed, now));
    }
}

/// Answers a call; an idempotent one is sent to further targets when the first fails.
pub async fn answer_plain(app: &Arc<App>, call: &Call) -> Response<RelayBody> {
    let mut sends = RequestSends::new(call.route.max_targets, call.route.may_repeat());
    let answer = send_until_answered(app, call, &mut sends).await;
    let now = app.clock.now();
    let ms = (now - call.arrived_at).0;
    let status = match &answer {
        Ok(full) => full.parts.status,
        Err(refusal) => refusal.status,
    };
    let kind = call.route.kind.to_string();
    app.metrics
        .requests
        .with_label_values(&[kind.as_str(), status.as_str()])
        .inc();
    match answer {
        Ok(full) => {
            log_end(call, status.as_u16(), sends.sent(), ms);
            to_response(full)
        }
        Err(refusal) => {
            log_failure(call, &refusal, sends.sent(), ms);
            refusal.to_response()
        }
    }
}

fn log_end(call: &Call, status: u16, sends: u32, ms: u64) {
    info!(
        id = %call.head.id,
        route = %call.route.name,
        routing = %call.routing,
        service = %call.service,
        status,
        sends,
        ms,
        "call ended"
    );
}

/// Logs a failed call. Every failed call writes this line.
fn log_failure(call: &Call, refusal: &Refusal, sends: u32, ms: u64) {
    warn!(
        id = %call.head.id,
        request = %call.digest(),
        route = %call.route.name,
        routing = %call.routing,
        service = %call.service,
        status = refusal.status.as_u16(),
        failure = refusal.reason,
        sends,
        ms,
        "call failed"
    );
}

/// Sends a call to one target after the other until one answers or no further send is allowed.
async fn send_until_answered(
    app: &Arc<App>,
    call: &Call,
    sends: &mut RequestSends,
) -> Result<FullAnswer, Refusal> {
    let mut avoid: Vec<TargetName> = Vec::new();
    let mut failed: Option<FullAnswer> = None;
    while sends.may_send() {
        let left = call.ends_at - app.clock.now();
        if left <= MIN_SEND_TIME_MS || (sends.sent() > 0 && !may_repeat(app, call)) {
            break;
        }
        let mut target = match choose_with_wait(app, call, &avoid, sends.sent()).await {
            Ok(target) => target,
            Err(NoTarget::Paused { until }) if failed.is_none() && !sends.may_have_run() => {
                return Err(Refusal::paused(until - app.clock.now()));
            }
            Err(NoTarget::Quarantined) if failed.is_none() && !sends.may_have_run() => {
                return Err(Refusal::quarantined());
            }
            Err(NoTarget::Limited) if failed.is_none() && !sends.may_have_run() => {
                let retry_ms = app.limited_retry_ms(&call.service, call.urgency);
                return Err(Refusal::limited(retry_ms));
            }
            Err(_) => break,
        };
        if sends.sent() == 0 {
            app.count_first_send(&call.service);
        }
        avoid.push(target.reservation.run.name.clone());
        let sent_at = app.clock.now();
        match send_once(app, call, &target.reservation, sends).await {
            SendResult::Answered(full) => {
                app.record_sound_call(call);
                return Ok(full);
            }
            SendResult::Failed(full) => {
                app.record_sound_call(call);
                sends.record(SendOutcome::Unknown);
                failed = Some(full);
            }
            SendResult::NoAnswer(outcome, cause) => {
                target.failed = true;
                sends.record(outcome);
                app.metrics
                    .sends
                    .with_label_values(&[&outcome.to_string()])
                    .inc();
                warn!(
                    id = %call.head.id,
                    request = %call.digest(),
                    target_name = %target.reservation.run.name,
                    end = %outcome,
                    cause,
                    "target gave no answer to a call"
                );
                if matches!(outcome, SendOutcome::TargetLost | SendOutcome::Unknown) {
                    record_lost_send(app, call, &target.reservation, outcome, sent_at);
                }
            }
        }
    }
    failed.ok_or_else(|| refusal_without_answer(app, call, sends))
}

/// Whether a call that was sent to a target may be sent to another one. Takes the retry from the budget.
fn may_repeat(app: &App, call: &Call) -> bool {
    app.may_repeat(call) && app.try_retry(&call.service)
}

/// Finds out whether the target's process has ended under a call that got no answer: at once if its
/// connection broke, else once another process serves at its address.
fn record_lost_send(
    app: &Arc<App>,
    call: &Call,
    reservation: &PlainReservation,
    outcome: SendOutcome,
    sent_at: Millis,
) {
    let send = BrokenSend {
        subjects: call.subjects().to_vec(),
        times: TargetEnd {
            sent_at,
            ended_at: app.clock.now(),
        },
    };
    if outcome == SendOutcome::TargetLost {
        probe_plain_after_break(app, reservation, send);
    } else {
        app.keep_unresolved(reservation.address, reservation.run.clone(), send);
    }
}

/// Chooses a target. Waits for a first one if the process has just started and may not know any.
async fn choose_with_wait(
    app: &Arc<App>,
    call: &Call,
    avoid: &[TargetName],
    sends: u32,
) -> Result<ReservedTarget, NoTarget> {
    let started_at = app.clock.now();
    let limit_ms = app
        .wait_limits
        .startup_wait_ms(call.ends_at - started_at, started_at);
    loop {
        let target = choose(app, call, avoid, sends);
        let has_timed_out = app.clock.now() - started_at >= limit_ms;
        let may_wait = avoid.is_empty() && !has_timed_out;
        if may_wait && matches!(target, Err(NoTarget::Unknown)) {
            sleep(CHECK_INTERVAL_MS.to_duration()).await;
            continue;
        }
        return target;
    }
}

fn choose(
    app: &Arc<App>,
    call: &Call,
    avoid: &[TargetName],
    sends: u32,
) -> Result<ReservedTarget, NoTarget> {
    if !app.knows_limits() || !app.knows_quarantine() {
        return Err(NoTarget::Unknown);
    }
    if app.is_quarantined(call, sends) {
        return Err(NoTarget::Quarantined);
    }
    let now = app.clock.now();
    let mut limits = app.rate_limits.lock();
    let reservation = app
        .with_plain_balancer(|balancer| balancer.choose(&call.service, avoid, &mut limits, now))?;
    drop(limits);
    Ok(ReservedTarget {
        app: Arc::clone(app),
        reservation,
        failed: false,
    })
}

/// The refusal for a call that no target answered.
fn refusal_without_answer(app: &App, call: &Call, sends: &RequestSends) -> Refusal {
    let is_expired = call.ends_at - app.clock.now() <= MIN_SEND_TIME_MS;
    match (sends.may_have_run(), is_expired) {
        (true, true) => Refusal::timed_out(),
        (true, false) => Refusal::answer_lost(),
        (false, true) => Refusal::expired_before_send(),
        (false, false) => Refusal::not_accepted(),
    }
}

/// Sends a call to one target and reads its answer.
async fn send_once(
    app: &App,
    call: &Call,
    reservation: &PlainReservation,
    sends: &RequestSends,
) -> SendResult {
    let left = call.ends_at - app.clock.now();
    let timeout_ms = send_timeout_ms(call, left, sends);
    let outbound = OutboundRequest {
        id: &call.head.id,
        method: &call.method,
        path: &call.path,
        headers: &call.headers,
        body: &call.body,
        address: reservation.address,
        incarnation: reservation.run.incarnation,
        head: TargetHead {
            time_left_ms: left,
            target: &reservation.run.name,
            workspace: call.workspace.as_ref(),
            chain: &[],
            urgency: call.urgency,
            last_event: None,
        },
        needs_new_connection: sends.needs_new_connection(),
        timeout_ms,
        sent_at: &SentAt::default(),
    };
    let ends_at = app.clock.now() + timeout_ms;
    let answer = match send(app, &outbound).await {
        Ok(answer) => answer,
        Err(failure) => {
            let (outcome, cause) = failure.describe();
            return SendResult::NoAnswer(outcome, cause);
        }
    };
    if answer.head.not_run {
        return SendResult::NoAnswer(SendOutcome::NotRun, "turned away");
    }
    let left = (ends_at - app.clock.now()).to_duration();
    let body = match timeout(left, app.held_answers.read(answer.body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            return SendResult::NoAnswer(
                SendOutcome::TargetLost,
                "answer broke off or is too long",
            );
        }
        Err(_) => return SendResult::NoAnswer(SendOutcome::Unknown, "answer not whole in time"),
    };
    app.connection_pool.put_back(answer.connection);
    let status = answer.parts.status;
    let full = FullAnswer {
        parts: answer.parts,
        body,
    };
    // These statuses tell a caller that the request didn't run, but the target didn't state that.
    if says_not_run(status.as_u16()) {
        return SendResult::NoAnswer(
            SendOutcome::Unknown,
            "status without the word that it didn't run",
        );
    }
    if status.is_server_error() && call.route.may_repeat() {
        return SendResult::Failed(full);
    }
    SendResult::Answered(full)
}

/// How long to wait for an answer. An idempotent call that may be sent to another target leaves
/// half of its time for that.
fn send_timeout_ms(call: &Call, left: Millis, sends: &RequestSends) -> Millis {
    let last_ms = left - REFUSAL_MARGIN_MS;
    let is_last = sends.sent() + 1 >= call.route.max_targets;
    if !call.route.may_repeat() || is_last {
        return last_ms;
    }
    Millis(left.0 / 2).max(MIN_SEND_TIMEOUT_MS).min(last_ms)
}

fn to_response(full: FullAnswer) -> Response<RelayBody> {
    Response::from_parts(full.parts, full_body(full.body))
}
