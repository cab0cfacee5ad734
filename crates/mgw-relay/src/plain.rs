//! Calls that are answered as a whole.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::http::response::Parts;
use mgw_routing::CallKind;
use mgw_world::{Millis, TargetName};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::app::App;
use crate::callers::{Call, Refusal, RelayBody, whole_body};
use crate::dialect::TargetHead;
use crate::targets::{PlainHold, SendFailure, Sending, send};
use crate::tries::{Tries, TryEnd, says_not_run};

/// Least time that a target gets for an idempotent call before another one is asked.
const MIN_TRY_MS: Millis = Millis(250);
/// Time between two looks for a first target.
const LOOK_MS: Millis = Millis(50);
/// Time before the end within which no further target is asked.
const LAST_SEND_MS: Millis = Millis(20);
/// Time kept at the end of a call for the answer that tells of its failure.
const ANSWER_MS: Millis = Millis(5);

/// A whole answer of a target.
struct Whole {
    parts: Parts,
    body: Bytes,
}

/// How one send ended.
enum End {
    Answered(Whole),
    /// The target itself failed; another one may do better.
    Failed(Whole),
    Not(TryEnd, &'static str),
}

/// Place of a call at a target, given back when dropped.
struct Place {
    app: Arc<App>,
    hold: PlainHold,
    failed: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.app.clock.now();
        self.app
            .with_plain(|choice| choice.release(&self.hold, self.failed, now));
    }
}

/// Answers a call; an idempotent one is sent to further targets when the first fails.
pub async fn answer_plain(app: &Arc<App>, call: &Call) -> Response<RelayBody> {
    let mut tries = Tries::new(call.route.max_targets, call.route.may_repeat());
    let answer = run(app, call, &mut tries).await;
    let now = app.clock.now();
    let ms = (now - call.arrived_at).0;
    let status = match &answer {
        Ok(whole) => whole.parts.status,
        Err(refusal) => refusal.status,
    };
    let kind = call.route.kind.to_string();
    app.metrics
        .requests
        .with_label_values(&[kind.as_str(), status.as_str()])
        .inc();
    match answer {
        Ok(whole) => {
            log_end(call, status.as_u16(), tries.sent(), ms);
            pass_on(whole)
        }
        Err(refusal) => {
            log_failure(call, &refusal, tries.sent(), ms);
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

/// The end of a failed call; its line is never left out.
fn log_failure(call: &Call, refusal: &Refusal, sends: u32, ms: u64) {
    warn!(
        id = %call.head.id,
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

async fn run(app: &Arc<App>, call: &Call, tries: &mut Tries) -> Result<Whole, Refusal> {
    let mut avoid: Vec<TargetName> = Vec::new();
    let mut failed: Option<Whole> = None;
    while tries.may_send() {
        let left = call.ends_at - app.clock.now();
        if left <= LAST_SEND_MS || (tries.sent() > 0 && !app.try_retry(&call.service)) {
            break;
        }
        let Some(mut place) = choose_waiting(app, call, &avoid).await else {
            break;
        };
        if tries.sent() == 0 {
            app.count_first_send(&call.service);
        }
        avoid.push(place.hold.target.clone());
        match send_once(app, call, &place.hold, tries).await {
            End::Answered(whole) => return Ok(whole),
            End::Failed(whole) => {
                tries.note(TryEnd::Unknown);
                failed = Some(whole);
            }
            End::Not(end, cause) => {
                place.failed = true;
                tries.note(end);
                app.metrics
                    .sends
                    .with_label_values(&[&end.to_string()])
                    .inc();
                warn!(
                    id = %call.head.id,
                    target_name = %place.hold.target,
                    %end,
                    cause,
                    "target gave no answer to a call"
                );
            }
        }
    }
    failed.ok_or_else(|| give_up(app, call, tries))
}

/// Chooses a target; a process that has just started may not have heard of any yet.
async fn choose_waiting(app: &Arc<App>, call: &Call, avoid: &[TargetName]) -> Option<Place> {
    let from = app.clock.now();
    let limit_ms = app.waiting.start_ms(call.ends_at - from, from);
    loop {
        let place = choose(app, call, avoid);
        let is_over = app.clock.now() - from >= limit_ms;
        if place.is_some() || is_over || !avoid.is_empty() {
            return place;
        }
        sleep(LOOK_MS.to_duration()).await;
    }
}

fn choose(app: &Arc<App>, call: &Call, avoid: &[TargetName]) -> Option<Place> {
    let now = app.clock.now();
    let hold = app.with_plain(|choice| choice.choose(&call.service, avoid, now))?;
    Some(Place {
        app: Arc::clone(app),
        hold,
        failed: false,
    })
}

fn give_up(app: &App, call: &Call, tries: &Tries) -> Refusal {
    let is_over = call.ends_at - app.clock.now() <= LAST_SEND_MS;
    match (tries.may_have_run(), is_over) {
        (true, true) => Refusal::timed_out(),
        (true, false) => Refusal::unknown(),
        (false, true) => Refusal::too_late(),
        (false, false) => Refusal::not_taken(),
    }
}

async fn send_once(app: &App, call: &Call, hold: &PlainHold, tries: &Tries) -> End {
    let left = call.ends_at - app.clock.now();
    let limit_ms = try_limit(call, left, tries);
    let sending = Sending {
        id: &call.head.id,
        method: &call.method,
        path: &call.path,
        headers: &call.headers,
        body: &call.body,
        address: hold.address,
        head: TargetHead {
            time_left_ms: left,
            target: &hold.target,
            workspace: call.workspace.as_ref(),
            chain: &[],
            urgency: call.urgency,
            last_event: None,
        },
        is_fresh: call.route.kind == CallKind::NonIdempotent,
        limit_ms,
    };
    let ends_at = app.clock.now() + limit_ms;
    let answer = match send(app, &sending).await {
        Ok(answer) => answer,
        Err(SendFailure::NotSent) => return End::Not(TryEnd::NotSent, "no connection"),
        Err(SendFailure::Broken) => return End::Not(TryEnd::Unknown, "connection broke"),
        Err(SendFailure::Late) => return End::Not(TryEnd::Unknown, "no answer in time"),
        Err(SendFailure::Foreign) => return End::Not(TryEnd::Unknown, "answer of another request"),
    };
    if answer.head.not_run {
        return End::Not(TryEnd::NotRun, "turned away");
    }
    let left = (ends_at - app.clock.now()).to_duration();
    let body = match timeout(left, answer.body.collect()).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(_)) => return End::Not(TryEnd::Unknown, "answer broke off"),
        Err(_) => return End::Not(TryEnd::Unknown, "answer not whole in time"),
    };
    app.connections.give_back(answer.lent);
    let status = answer.parts.status;
    let whole = Whole {
        parts: answer.parts,
        body,
    };
    // These statuses tell a caller that the request didn't run, which the target didn't say.
    if says_not_run(status.as_u16()) {
        return End::Not(
            TryEnd::Unknown,
            "status without the word that it didn't run",
        );
    }
    if status.is_server_error() && call.route.may_repeat() {
        return End::Failed(whole);
    }
    End::Answered(whole)
}

/// An idempotent call that may go to another target leaves it half of the time.
fn try_limit(call: &Call, left: Millis, tries: &Tries) -> Millis {
    let last_ms = left - ANSWER_MS;
    let is_last = tries.sent() + 1 >= call.route.max_targets;
    if !call.route.may_repeat() || is_last {
        return last_ms;
    }
    Millis(left.0 / 2).max(MIN_TRY_MS).min(last_ms)
}

fn pass_on(whole: Whole) -> Response<RelayBody> {
    Response::from_parts(whole.parts, whole_body(whole.body))
}
