//! A part of prompts that ends each target which begins to answer a request with it.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use futures::future::join;
use hyper::StatusCode;
use mgw_contract::operator::{AUDIT_PATH, QUARANTINE_PATH};
use support::{Fleet, FleetSettings, HARMFUL_PART, SHARED_PART};
use tokio::time::sleep;

/// As many as [`FleetSettings`] starts.
const ENTRIES: usize = 3;
/// Number of ends after which the entries have to know the part.
const KNOWN_ENDS: usize = 5;
/// Time from that end until no entry sends the part any more.
const SPREAD_LIMIT: Duration = Duration::from_millis(3_000);
/// Requests with the part that may still reach targets after that.
const MAX_LATE: usize = 3;
const PLAY_TIME: Duration = Duration::from_secs(9);
const HARMFUL_PAUSE: Duration = Duration::from_millis(150);
const SOUND_PAUSE: Duration = Duration::from_millis(15);

/// Requests with the harmful part come at all entries, no two alike.
async fn send_harmful(fleet: &Fleet, ends_at: Instant) {
    let mut number = 0;
    while Instant::now() < ends_at {
        let id = format!("harmful-{number}");
        let _ = fleet
            .call(number % ENTRIES, &id, &[SHARED_PART, HARMFUL_PART])
            .await;
        number += 1;
        sleep(HARMFUL_PAUSE).await;
    }
}

/// Requests that share the first part with the harmful ones; returns how many of those sent after
/// `counted_from` were sent and served.
async fn send_sound(fleet: &Fleet, counted_from: Instant, ends_at: Instant) -> (usize, usize) {
    let (mut sent, mut served) = (0, 0);
    let mut number = 0;
    while Instant::now() < ends_at {
        let is_counted = Instant::now() >= counted_from;
        let id = format!("sound-{number}");
        let own_part = format!("c{number:x}");
        let answer = fleet
            .call(number % ENTRIES, &id, &[SHARED_PART, &own_part])
            .await;
        if is_counted {
            sent += 1;
            served += usize::from(answer.is_whole && answer.status.is_success());
        }
        number += 1;
        sleep(SOUND_PAUSE).await;
    }
    (sent, served)
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_part_that_ends_targets_are_no_longer_sent_once_it_is_known() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let started = Instant::now();
    let ends_at = started + PLAY_TIME;
    let counted_from = ends_at - Duration::from_secs(2);
    let sound = send_sound(&fleet, counted_from, ends_at);
    let ((), (sent, served)) = join(send_harmful(&fleet, ends_at), sound).await;
    let seen = fleet.seen.lock();
    let known_end = seen.ends.get(KNOWN_ENDS - 1);
    let late = known_end.map_or(0, |known_end| {
        let reached = seen.reached.iter();
        reached
            .filter(|at| **at > *known_end + SPREAD_LIMIT)
            .count()
    });
    assert!(
        late <= MAX_LATE,
        "{late} harmful requests reached targets late, {} targets ended",
        seen.ends.len()
    );
    assert!(
        served * 2 >= sent,
        "{served} of {sent} sound requests were served"
    );
    assert!(!seen.ends.is_empty());
}

/// The part as operators' calls write it.
fn part_number() -> u64 {
    u64::from_str_radix(HARMFUL_PART, 16).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_lists_a_quarantined_part_and_lets_it_reach_targets_again() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    fleet.add_operator().await;
    let learnt_by = Instant::now() + SPREAD_LIMIT;
    let sound = send_sound(&fleet, learnt_by, learnt_by);
    join(send_harmful(&fleet, learnt_by), sound).await;
    let (_, listed) = fleet.operate(QUARANTINE_PATH, None).await;
    let part = format!(r#""part":{}"#, part_number());
    assert!(listed.contains(&part), "{listed}");
    let reached = || fleet.seen.lock().reached.len();
    let before = reached();
    let refused = fleet.call(0, "refused", &[SHARED_PART, HARMFUL_PART]).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reached(), before);
    let lift = format!("{{{part}}}");
    let (status, answer) = fleet.operate(QUARANTINE_PATH, Some(lift.clone())).await;
    assert_eq!(status, StatusCode::OK, "{answer}");
    // The entries hear of it with their next report.
    sleep(Duration::from_millis(1_500)).await;
    fleet.call(0, "lifted", &[SHARED_PART, HARMFUL_PART]).await;
    assert!(reached() > before);
    let (status, _) = fleet.operate(QUARANTINE_PATH, Some(lift)).await;
    assert_eq!(status, StatusCode::CONFLICT, "it is lifted already");
    let (_, audit) = fleet.operate(AUDIT_PATH, None).await;
    assert!(audit.contains("lift quarantine"), "{audit}");
}
