//! Targets that state how many requests a second they take from all entries together.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use support::{Answer, Fleet, FleetSettings, SHARED_PART};
use tokio::time::sleep;

const ENTRIES: usize = 3;
const TARGETS: usize = 3;
/// Limit that each target states.
const LIMIT: &str = "2";
/// Time after the first statement from which the limit has to be kept.
const SETTLE: Duration = Duration::from_millis(3_000);
/// Span over which requests are counted, and how many the limit allows in it: one and a half times as
/// many, and five.
const WINDOW: Duration = Duration::from_secs(4);
const MAX_IN_WINDOW: usize = 17;
const PLAY_TIME: Duration = Duration::from_secs(9);
const CALL_PAUSE: Duration = Duration::from_millis(40);
/// Longest time until the refusal of a request for which the limits leave no room.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Calls an entry again and again.
async fn call_entry(fleet: Arc<Fleet>, is_plain: bool, entry: usize) -> Vec<(Answer, Duration)> {
    let ends_at = Instant::now() + PLAY_TIME;
    let mut calls = Vec::new();
    while Instant::now() < ends_at {
        let id = format!("{entry}-{}", calls.len());
        let fleet = Arc::clone(&fleet);
        calls.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            let answer = if is_plain {
                fleet.call_plain(entry, &id).await
            } else {
                fleet.call(entry, &id, &[SHARED_PART]).await
            };
            (answer, sent_at.elapsed())
        }));
        sleep(CALL_PAUSE).await;
    }
    let answers = join_all(calls).await;
    answers.into_iter().map(Result::unwrap).collect()
}

/// Most arrivals in a window, among those that begin after the limit has settled.
fn busiest_window(arrivals: &[Instant]) -> usize {
    let settled_at = arrivals[0] + SETTLE;
    let starts = arrivals.iter().filter(|at| **at >= settled_at);
    let counts = starts.map(|start| {
        let window = *start..*start + WINDOW;
        arrivals.iter().filter(|at| window.contains(*at)).count()
    });
    counts.max().unwrap_or_default()
}

/// Calls all entries for a while and checks what each target got; returns the answers.
async fn play(is_plain: bool) -> Vec<(Answer, Duration)> {
    let settings = FleetSettings {
        relays: ENTRIES,
        targets: TARGETS,
        is_plain,
        limit: Some(LIMIT),
    };
    let fleet = Arc::new(Fleet::start(settings).await);
    let callers = (0..ENTRIES).map(|entry| call_entry(Arc::clone(&fleet), is_plain, entry));
    let answers = join_all(callers).await.into_iter().flatten().collect();
    for (target, arrivals) in &fleet.seen.lock().arrivals {
        let busiest = busiest_window(arrivals);
        assert!(
            busiest <= MAX_IN_WINDOW,
            "target {target}: {busiest} in 4 s"
        );
    }
    answers
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_together_send_a_target_no_more_streams_than_it_takes() {
    play(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_together_send_a_target_no_more_calls_than_it_takes() {
    play(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_rate_limits_leave_no_room_for_are_refused_at_once() {
    let answers = play(false).await;
    let is_refused = |(answer, _): &&(Answer, Duration)| !answer.status.is_success();
    let refused: Vec<_> = answers.iter().filter(is_refused).collect();
    assert!(
        refused.len() * 2 > answers.len(),
        "{} refused",
        refused.len()
    );
    for (answer, took) in refused {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key(RETRY_AFTER));
        assert!(*took <= MAX_REFUSAL_TIME, "{took:?}");
    }
}
