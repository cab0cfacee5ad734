//! Callers get whole answers to their own requests whatever targets do, and no request runs twice
//! that must run at most once.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{CONNECTION, RETRY_AFTER};
use mgw_contract::target::Readiness;
use support::{Behaviour, Standin, System, names, request, whole_stream};
use tokio::time::sleep;

async fn start_engines(first: &[Behaviour], second: &[Behaviour]) -> (Standin, Standin, System) {
    let one = Standin::start("one", true, first).await;
    let two = Standin::start("two", true, second).await;
    let system = System::start(&[&one, &two]).await;
    (one, two, system)
}

async fn start_records(first: &[Behaviour], second: &[Behaviour]) -> (Standin, Standin, System) {
    let one = Standin::start("one", false, first).await;
    let two = Standin::start("two", false, second).await;
    let system = System::start(&[&one, &two]).await;
    (one, two, system)
}

fn request_count(one: &Standin, two: &Standin) -> usize {
    one.seen().len() + two.seen().len()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_arrives_complete_and_its_target_receives_the_workspace_but_not_the_key() {
    let (one, two, system) = start_engines(&[], &[]).await;
    let answer = system.call("a", "/stream/x").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_whole);
    assert_eq!(answer.body, whole_stream());
    let seen = [one.seen(), two.seen()].concat();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].workspace.as_deref(), Some("marshals"));
    assert_eq!(seen[0].chain.as_deref(), Some("1"));
    assert_eq!(seen[0].body, "question");
    assert!(!seen[0].has_key);
}

/// The first target dies in the middle of an event, or stops sending. The answer resumes at the
/// other target after the last complete event, and keeps the header fields of the first.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_on_another_target_after_its_last_complete_event() {
    for fault in [Behaviour::BreakAfter(2), Behaviour::SilentAfter(2)] {
        let (one, two, system) = start_engines(&[fault], &[fault]).await;
        let answer = system.call("a", "/stream/x").await;
        assert!(answer.is_whole, "{fault:?}");
        assert_eq!(answer.body, whole_stream(), "{fault:?}");
        let seen = [one.seen(), two.seen()].concat();
        let mut resumed: Vec<Option<u64>> = seen.iter().map(|it| it.last_event).collect();
        resumed.sort_unstable();
        assert_eq!(resumed, [None, Some(2)], "{fault:?}");
        let one_was_first = one.seen().iter().any(|it| it.last_event.is_none());
        let first = if one_was_first { "one" } else { "two" };
        assert_eq!(answer.headers[names::SEAL], first, "{fault:?}");
    }
}

/// Load pattern: chains are full, and prompts are queued. If the relay moved such a stream, its
/// prompt would be processed twice, and the stream would fail where no further send is allowed.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_first_event_is_late_is_not_moved_from_a_live_target() {
    let (one, two, system) = start_engines(&[Behaviour::LateFirst], &[Behaviour::LateFirst]).await;
    let answer = system.call("a", "/stream/x").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body, whole_stream());
    assert_eq!(request_count(&one, &two), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cant_be_completed_doesnt_look_complete() {
    let breaks = [Behaviour::BreakEarly, Behaviour::BreakEarly];
    let (one, two, system) = start_engines(&breaks, &breaks).await;
    let seen_before = request_count(&one, &two);
    let answer = system.call("a", "/stream/x").await;
    assert!(!answer.is_whole);
    assert!(
        whole_stream().starts_with(&answer.body),
        "whole events only"
    );
    assert!(
        request_count(&one, &two) - seen_before <= 2,
        "no more targets than the route allows"
    );
}

/// Load pattern: all machines restart. The settings of an entry name a few controls, and most
/// targets announce themselves at others.
#[tokio::test(flavor = "multi_thread")]
async fn targets_of_a_control_known_only_from_another_control_are_used_at_once() {
    let one = Standin::start("one", true, &[]).await;
    let system = System::start_with_unnamed_control(&[&one]).await;
    let answer = system.call("a", "/stream/x").await;
    assert_eq!(answer.body, whole_stream());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_stream_is_sent_to_another_target() {
    let (one, two, system) = start_engines(&[Behaviour::NotRun], &[]).await;
    for id in ["a", "b", "c"] {
        let answer = system.call(id, "/stream/x").await;
        assert_eq!(answer.body, whole_stream(), "{id}");
    }
    assert!(request_count(&one, &two) <= 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_the_request_at_the_target() {
    let (one, two, system) =
        start_engines(&[Behaviour::SilentAfter(1)], &[Behaviour::SilentAfter(1)]).await;
    let calling = system.call("a", "/stream/x");
    let left = tokio::time::timeout(Duration::from_millis(250), calling).await;
    assert!(left.is_err(), "the stream is silent");
    system
        .wait_until(|_| one.dropped() + two.dropped() >= 1)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_call_whose_answer_is_lost_is_sent_once_and_fails_without_retry_after() {
    let lost = [Behaviour::LoseAnswer];
    let (one, two, system) = start_records(&lost, &lost).await;
    let answer = system.call("a", "/once/x").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(!answer.headers.contains_key(RETRY_AFTER));
    assert!(!answer.headers.contains_key(names::SEAL));
    assert_eq!(request_count(&one, &two), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_call_that_didnt_run_is_refused_with_retry_after() {
    let refused = [Behaviour::NotRun];
    let (one, two, system) = start_records(&refused, &refused).await;
    let answer = system.call("a", "/once/x").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key(RETRY_AFTER));
    assert_eq!(request_count(&one, &two), 1, "one target at most");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_call_is_retried_at_another_target() {
    for fault in [
        Behaviour::LoseAnswer,
        Behaviour::Fail,
        Behaviour::NotRun,
        Behaviour::Foreign,
    ] {
        let (one, two, system) = start_records(&[fault], &[]).await;
        for id in ["a", "b"] {
            let answer = system.call(id, "/read/x").await;
            assert_eq!(answer.status, StatusCode::OK, "{fault:?} {id}");
            assert_eq!(answer.body, "answer");
        }
        assert!(request_count(&one, &two) <= 3, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_another_request_is_never_passed_on() {
    let foreign = [Behaviour::Foreign, Behaviour::Foreign];
    let (one, two, system) = start_records(&foreign, &foreign).await;
    let answer = system.call("a", "/once/x").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_ne!(answer.body, "answer");
    assert_eq!(request_count(&one, &two), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_requests() {
    let (one, two, mut system) = start_records(&[], &[]).await;
    system.announce(&one, Readiness::Leaving);
    sleep(Duration::from_millis(500)).await;
    let before = one.seen().len();
    for number in 0..10 {
        let answer = system.call(&number.to_string(), "/read/x").await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(one.seen().len(), before);
    assert_eq!(two.seen().len(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes_and_missing_keys_are_refused_and_a_new_document_takes_effect_soon() {
    let (_one, _two, system) = start_records(&[], &[]).await;
    let nowhere = system.call("a", "/nowhere/x").await;
    assert_eq!(nowhere.status, StatusCode::NOT_FOUND);
    let mut stranger = request("b", "/read/x");
    stranger.headers_mut().remove(names::KEY);
    let stranger = system.call_with(stranger).await;
    assert_eq!(stranger.status, StatusCode::UNAUTHORIZED);
    let early = system.call("c", "/later/x").await;
    assert_eq!(early.status, StatusCode::NOT_FOUND);
    system.replace_routing(2).await;
    sleep(Duration::from_millis(500)).await;
    let later = system.call("d", "/later/x").await;
    assert_eq!(later.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_shuts_down_still_serves_and_completes_its_answers() {
    let (_one, _two, system) = start_engines(&[], &[]).await;
    let ending = tokio::spawn(system.relay.clone().run_until_ended());
    let running = system.call("a", "/stream/x");
    system.shutdown.graceful.cancel();
    let (running, late) = tokio::join!(running, system.call("b", "/stream/x"));
    assert!(!system.relay.is_ready());
    for answer in [running, late] {
        assert!(answer.is_whole);
        assert_eq!(answer.body, whole_stream());
    }
    let after = system.call("c", "/stream/x").await;
    assert_eq!(after.headers[CONNECTION], "close");
    ending.await.unwrap();
}
