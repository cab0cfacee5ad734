//! Load of calls that run at most once, through one entry; prints rates, times and gaps.
//!
//! `claim_load ENTRY_URL CALLERS SECONDS [KEY_PREFIX]`

#![allow(
    clippy::print_stdout,
    clippy::print_stderr,
    reason = "the figures are the output"
)]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hyper::Request;
use mgw_contract::caller::{
    IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, SERVICES_PATH, WORKSPACE_HEADER,
};
use mgw_serve::http::{HttpClient, client, full, read_body};

/// One call: when it ended, how long it took and what became of it.
struct Call {
    ended: Instant,
    took: Duration,
    is_done: bool,
}

#[tokio::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [entry, callers, seconds, rest @ ..] = arguments.as_slice() else {
        eprintln!("usage: claim_load ENTRY_URL CALLERS SECONDS [KEY_PREFIX]");
        std::process::exit(2);
    };
    let callers: u64 = callers.parse().expect("CALLERS is a number");
    let seconds: u64 = seconds.parse().expect("SECONDS is a number");
    let prefix = rest.first().cloned().unwrap_or_else(|| "load".to_owned());
    let http = client();
    let next = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + Duration::from_secs(seconds);
    let running: Vec<_> = (0..callers)
        .map(|_| {
            let (http, entry) = (http.clone(), entry.clone());
            let (next, prefix) = (Arc::clone(&next), prefix.clone());
            tokio::spawn(async move { call_until(&http, &entry, &next, &prefix, until).await })
        })
        .collect();
    let mut calls = Vec::new();
    for one in running {
        calls.extend(one.await.expect("the caller ends"));
    }
    report(&mut calls, callers, seconds);
}

async fn call_until(
    http: &HttpClient,
    entry: &str,
    next: &AtomicU64,
    prefix: &str,
    until: Instant,
) -> Vec<Call> {
    let mut calls = Vec::new();
    while Instant::now() < until {
        let key = format!("{prefix}-{}", next.fetch_add(1, Ordering::Relaxed));
        let started = Instant::now();
        let is_done = call(http, entry, &key).await.is_some();
        let ended = Instant::now();
        calls.push(Call {
            ended,
            took: ended - started,
            is_done,
        });
    }
    calls
}

/// Makes one call; none when its outcome is not "done".
async fn call(http: &HttpClient, entry: &str, key: &str) -> Option<()> {
    let request = Request::post(format!("{entry}{SERVICES_PATH}train-app/billing/load"))
        .header(WORKSPACE_HEADER, "classrooms")
        .header(IDEMPOTENCY_KEY_HEADER, key)
        .body(full("one"));
    let response = http.request(request.ok()?).await.ok()?;
    let outcome = response.headers().get(OUTCOME_HEADER)?.clone();
    read_body(response.into_body()).await.ok()?;
    (outcome == "done").then_some(())
}

fn report(calls: &mut [Call], callers: u64, seconds: u64) {
    let done = calls.iter().filter(|call| call.is_done);
    let mut times: Vec<Duration> = done.clone().map(|call| call.took).collect();
    let mut ends: Vec<Instant> = done.map(|call| call.ended).collect();
    times.sort();
    ends.sort();
    let at = |percent: usize| times.get(times.len().saturating_sub(1) * percent / 100);
    let gaps = ends.windows(2).map(|pair| pair[1] - pair[0]);
    println!(
        "callers {callers} seconds {seconds} done {} not_done {} p50 {:?} p99 {:?} max {:?} \
         longest_gap {:?}",
        times.len(),
        calls.len() - times.len(),
        at(50).copied().unwrap_or_default(),
        at(99).copied().unwrap_or_default(),
        at(100).copied().unwrap_or_default(),
        gaps.max().unwrap_or_default(),
    );
}
