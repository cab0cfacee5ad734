//! Targets that say in their answers that they are leaving, or that they want no requests for a
//! while, get none, whatever the view shows.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use mgw_contract::target::Readiness;
use support::{Behaviour, Standin, System, whole_stream};
use tokio::time::sleep;

const LONG_PAUSE: &str = "60000";

/// Calls the relay with ids `first`, `first + 1` and so on, and returns the statuses.
async fn call_times(system: &System, path: &str, ids: std::ops::Range<u32>) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for id in ids {
        statuses.push(system.call(&id.to_string(), path).await.status);
    }
    statuses
}

/// Targets tell that they leave before any view shows it; the view here shows them as ready all the
/// time, and again after an exchange.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_it_is_leaving_in_an_answer_gets_no_further_requests() {
    for (is_engine, path) in [(false, "/read/x"), (true, "/stream/x")] {
        let one = Standin::start("one", is_engine, &[Behaviour::Leaving]).await;
        let two = Standin::start("two", is_engine, &[]).await;
        let mut system = System::start(&[&one, &two]).await;
        // The calls take turns, so one of the first ones reaches the leaving target.
        call_times(&system, path, 0..4).await;
        while one.seen().is_empty() {
            call_times(&system, path, 4..5).await;
            // Leaves all calls to the other one for a while; a leaving target would never be back.
            system.announce(&two, Readiness::Loading);
            sleep(Duration::from_millis(100)).await;
        }
        system.announce(&one, Readiness::Ready);
        system.announce(&two, Readiness::Ready);
        sleep(Duration::from_millis(700)).await;
        let before = one.seen().len();
        let statuses = call_times(&system, path, 10..20).await;
        assert!(statuses.iter().all(|it| *it == StatusCode::OK), "{path}");
        assert_eq!(one.seen().len(), before, "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_answer_of_a_leaving_target_still_arrives_complete() {
    let one = Standin::start("one", true, &[Behaviour::Leaving]).await;
    let system = System::start(&[&one]).await;
    let answer = system.call("a", "/stream/x").await;
    assert_eq!(answer.body, whole_stream());
    let after = system.call("b", "/stream/x").await;
    assert_eq!(after.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(one.seen().len(), 1);
}

/// Load pattern: a target sheds what it can't hold while the others still have capacity.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_asks_for_a_pause_gets_no_request_until_its_end() {
    for (is_engine, path) in [(false, "/read/x"), (true, "/stream/x")] {
        let one = Standin::start("one", is_engine, &[Behaviour::Shed("1500")]).await;
        let system = System::start(&[&one]).await;
        call_times(&system, path, 0..1).await;
        let refused = system.call("1", path).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        let retry_after = refused.headers[RETRY_AFTER].to_str().unwrap();
        let retry_after_s: f64 = retry_after.parse().unwrap();
        assert!((0.5..=2.3).contains(&retry_after_s), "{retry_after}");
        assert_eq!(one.seen().len(), 1, "{path}");
        sleep(Duration::from_millis(1_700)).await;
        let statuses = call_times(&system, path, 2..4).await;
        assert!(statuses.iter().all(|it| *it == StatusCode::OK), "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn while_one_target_pauses_the_others_serve() {
    for (is_engine, path) in [(false, "/read/x"), (true, "/stream/x")] {
        let one = Standin::start("one", is_engine, &[Behaviour::Shed(LONG_PAUSE); 9]).await;
        let two = Standin::start("two", is_engine, &[]).await;
        let system = System::start(&[&one, &two]).await;
        let statuses = call_times(&system, path, 0..12).await;
        assert!(statuses.iter().all(|it| *it == StatusCode::OK), "{path}");
        assert!(one.seen().len() <= 1, "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pause_that_cant_be_read_leaves_the_target_in_use() {
    let one = Standin::start("one", false, &[Behaviour::Shed("soon")]).await;
    let system = System::start(&[&one]).await;
    call_times(&system, "/read/x", 0..1).await;
    let statuses = call_times(&system, "/read/x", 1..3).await;
    assert_eq!(statuses, [StatusCode::OK, StatusCode::OK]);
}
