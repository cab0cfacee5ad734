//! Load of non-idempotent calls through one entry; prints counts, latencies and the longest gap.
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

/// One call: when it ended, its latency, and whether its outcome was "done".
struct Call {
    ended: Instant,
    latency: Duration,
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
    let next_key = Arc::new(AtomicU64::new(0));
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let (http, entry) = (http.clone(), entry.clone());
            let (next_key, prefix) = (Arc::clone(&next_key), prefix.clone());
            tokio::spawn(async move {
                call_until_deadline(&http, &entry, &next_key, &prefix, deadline).await
            })
        })
        .collect();
    let mut calls = Vec::new();
    for task in tasks {
        calls.extend(task.await.expect("the caller ends"));
    }
    report(&mut calls, callers, seconds);
}

async fn call_until_deadline(
    http: &HttpClient,
    entry: &str,
    next_key: &AtomicU64,
    prefix: &str,
    deadline: Instant,
) -> Vec<Call> {
    let mut calls = Vec::new();
    while Instant::now() < deadline {
        let key = format!("{prefix}-{}", next_key.fetch_add(1, Ordering::Relaxed));
        let started = Instant::now();
        let is_done = call(http, entry, &key).await.is_some();
        let ended = Instant::now();
        calls.push(Call {
            ended,
            latency: ended - started,
            is_done,
        });
    }
    calls
}

/// Makes one call; none unless its outcome is "done".
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
    let mut latencies: Vec<Duration> = done.clone().map(|call| call.latency).collect();
    let mut end_times: Vec<Instant> = done.map(|call| call.ended).collect();
    latencies.sort();
    end_times.sort();
    let at = |percent: usize| latencies.get(latencies.len().saturating_sub(1) * percent / 100);
    let gaps = end_times.windows(2).map(|pair| pair[1] - pair[0]);
    println!(
        "callers {callers} seconds {seconds} done {} not_done {} p50 {:?} p99 {:?} max {:?} \
         longest_gap {:?}",
        latencies.len(),
        calls.len() - latencies.len(),
        at(50).copied().unwrap_or_default(),
        at(99).copied().unwrap_or_default(),
        at(100).copied().unwrap_or_default(),
        gaps.max().unwrap_or_default(),
    );
}
