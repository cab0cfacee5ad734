//! Probes forwarding engines: whether they answer, and their slowness.

use std::collections::hash_map::Entry;
use std::io::ErrorKind;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use mgw_route::{BrokenSend, Hop, ProbeOutcome};
use mgw_world::{Millis, ServiceName};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::app::App;
use crate::dialect::{AnswerHead, StatedLimit};
use crate::links::TargetLink;
use crate::targets::PooledConnection;

/// Id in log lines of connections for probes.
pub(super) const PROBE_ID: &str = "probe";
/// Time within which an engine must answer a probe once it is connected.
const PROBE_TIMEOUT_MS: Millis = Millis(400);
/// Pause before an engine that didn't answer is probed again.
const RETRY_INTERVAL_MS: Millis = Millis(1_000);
/// Most probes of an engine after the first one.
const MAX_RETRIES: u32 = 3;
/// Largest body of an answer to a probe.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Probes each engine in the background and records the outcome in the router of the service.
pub fn probe_hops(app: &Arc<App>, service: &ServiceName, hops: Vec<Hop>, cause: &'static str) {
    for hop in hops {
        probe_hop(app, service, hop, Vec::new(), cause);
    }
}

/// Probes the engine to which a connection broke in the background. If its process has ended, that is
/// recorded against the request that was sent over the connection.
pub fn probe_after_break(
    app: &Arc<App>,
    service: &ServiceName,
    hop: Hop,
    send: Option<BrokenSend>,
    cause: &'static str,
) {
    probe_hop(app, service, hop, send.into_iter().collect(), cause);
}

/// Starts a probe, or leaves the sends to one that is under way.
fn probe_hop(
    app: &Arc<App>,
    service: &ServiceName,
    hop: Hop,
    mut sends: Vec<BrokenSend>,
    cause: &'static str,
) {
    match app.probes.lock().entry(hop.run()) {
        Entry::Occupied(mut waiting) => {
            waiting.get_mut().append(&mut sends);
            return;
        }
        Entry::Vacant(vacant) => {
            vacant.insert(sends);
        }
    }
    let app = Arc::clone(app);
    let service = service.clone();
    tokio::spawn(async move {
        loop {
            probe_until_answered(&app, &service, &hop, cause).await;
            let mut probes = app.probes.lock();
            // Sends that came in after the last outcome wait for another probe.
            if probes.get(&hop.run()).is_none_or(Vec::is_empty) {
                probes.remove(&hop.run());
                return;
            }
        }
    });
}

/// Records the outcome of a probe against the sends that wait for it.
fn resolve_sends(app: &App, hop: &Hop, outcome: ProbeOutcome) {
    let run = hop.run();
    let sends = app.probes.lock().get_mut(&run).map(std::mem::take);
    for send in sends.unwrap_or_default() {
        match outcome {
            ProbeOutcome::Ended => app.record_target_end(&run, &send),
            ProbeOutcome::Dead => app.keep_unresolved(hop.address, run.clone(), send),
            ProbeOutcome::Alive { .. } => {}
        }
    }
}

/// Why a probe got no usable report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
enum ProbeFailure {
    /// Nothing listens at the engine's address: its process has ended.
    #[display("connection refused")]
    Refused,
    /// No connection was established in time, or only with an error.
    #[display("no connection")]
    NotConnected,
    /// The connection broke before the report was whole.
    #[display("connection broke")]
    Broken,
    /// The report didn't arrive in time.
    #[display("no report in time")]
    Late,
    /// The report can't be decoded.
    #[display("unusable report")]
    Unusable,
    /// The engine listens, but its rate limit leaves no room to ask it.
    #[display("rate limit reached")]
    Limited,
}

impl ProbeFailure {
    /// Whether nothing serves at the engine's address any more. A proxy in front of an engine that has
    /// ended accepts the connection and breaks it.
    const fn shows_end(self) -> bool {
        matches!(self, Self::Refused | Self::Broken)
    }
}

async fn probe_until_answered(app: &App, service: &ServiceName, hop: &Hop, cause: &'static str) {
    for repeat in 0..=MAX_RETRIES {
        if app.is_excluded(&hop.run()) {
            resolve_sends(app, hop, ProbeOutcome::Dead);
            return;
        }
        let probed = probe_once(app, hop).await;
        if probed == Err(ProbeFailure::Limited) {
            resolve_sends(app, hop, ProbeOutcome::Dead);
            info!(target_name = %hop.target, cause, repeat, "engine not probed: its rate limit is reached");
            return;
        }
        let now = app.clock.now();
        let outcome = match probed {
            Ok(slowness) => ProbeOutcome::Alive { slowness },
            Err(failure) if failure.shows_end() => ProbeOutcome::Ended,
            Err(_) => ProbeOutcome::Dead,
        };
        resolve_sends(app, hop, outcome);
        app.with_chains(service, |chains| {
            chains.record_probe(&hop.target, outcome, now);
        });
        match probed {
            Ok(slowness) => {
                info!(target_name = %hop.target, cause, repeat, slowness, "engine answered a probe");
                return;
            }
            Err(failure) => {
                app.metrics.count_failed_probe(&failure.to_string());
                warn!(
                    target_name = %hop.target,
                    incarnation = %hop.incarnation,
                    cause,
                    repeat,
                    outcome = %failure,
                    "engine didn't answer a probe"
                );
            }
        }
        sleep(RETRY_INTERVAL_MS.to_duration()).await;
    }
}

/// Probes the engine over a new connection, because an idle one may be dead while the engine is not. Returns the
/// engine's slowness.
async fn probe_once(app: &App, hop: &Hop) -> Result<f64, ProbeFailure> {
    let run = hop.run();
    let link = TargetLink {
        id: PROBE_ID,
        run: &run,
        address: hop.address,
        needs_new_connection: true,
        time_left_ms: PROBE_TIMEOUT_MS,
    };
    let connected = app.connect(&link).await;
    let connection = connected.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => ProbeFailure::Refused,
        _ => ProbeFailure::NotConnected,
    })?;
    let fetching = timeout(
        PROBE_TIMEOUT_MS.to_duration(),
        fetch_report(app, hop, connection),
    );
    fetching.await.unwrap_or(Err(ProbeFailure::Late))
}

async fn fetch_report(
    app: &App,
    hop: &Hop,
    mut connection: PooledConnection,
) -> Result<f64, ProbeFailure> {
    if !app.rate_limits.lock().take(&hop.run(), app.clock.now()) {
        return Err(ProbeFailure::Limited);
    }
    let request = Request::get(app.adapter.report.path)
        .header(hyper::header::HOST, hop.address.to_string())
        .body(Full::<Bytes>::default())
        .map_err(|_| ProbeFailure::Unusable)?;
    let sent = connection.send(request).await;
    let response = sent.map_err(|_| {
        if connection.awaited_head.is_exceeded() {
            ProbeFailure::Unusable
        } else {
            ProbeFailure::Broken
        }
    })?;
    let read_head = app.adapter.dialect.read_answer;
    let head = read_head(response.status().as_u16(), response.headers());
    app.record_notices(&hop.run(), &without_ended_limit(head));
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
    let body = body.collect().await.map_err(|_| ProbeFailure::Broken)?;
    app.connection_pool.put_back(connection);
    match (app.adapter.report.read)(&body.to_bytes()) {
        Ok(report) => Ok(report.slowness),
        Err(error) => {
            warn!(target_name = %hop.target, %error, "can't decode the engine's report");
            Err(ProbeFailure::Unusable)
        }
    }
}

/// A report may leave out the rate limit that answers to requests state, so its absence tells nothing.
fn without_ended_limit(head: AnswerHead) -> AnswerHead {
    let rate_limit = match head.rate_limit {
        StatedLimit::None => StatedLimit::Unknown,
        stated => stated,
    };
    AnswerHead { rate_limit, ..head }
}
