//! A request that ends each target which begins to run it, whatever its parts are.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use futures::future::join;
use support::{Fleet, FleetSettings, HARMFUL_PATH};
use tokio::time::sleep;

/// As many as [`FleetSettings`] starts.
const ENTRIES: usize = 3;
/// Number of targets that have ended when the request has to become known.
const KNOWN_ENDS: usize = 3;
/// Time from that end until no entry sends the request any more.
const SPREAD_LIMIT: Duration = Duration::from_millis(3_000);
/// How often the request may still reach targets after that.
const MAX_LATE: usize = 3;
const PLAY_TIME: Duration = Duration::from_secs(9);
/// Time at the end of a play in which sound calls have to be served.
const COUNTED_TIME: Duration = Duration::from_secs(2);
const HARMFUL_PAUSE: Duration = Duration::from_millis(150);
const SOUND_PAUSE: Duration = Duration::from_millis(15);

/// Sends the harmful request to the entries in turn, each time under another id.
async fn send_harmful(fleet: &Fleet, route: &str, ends_at: Instant) {
    let path = format!("/{route}/{HARMFUL_PATH}");
    let mut number = 0;
    while Instant::now() < ends_at {
        let id = format!("harmful-{number}");
        let _ = fleet.call_path(number % ENTRIES, &id, &path).await;
        number += 1;
        sleep(HARMFUL_PAUSE).await;
    }
}

/// Sends requests to other paths; returns how many of the last ones were sent and served.
async fn send_sound(fleet: &Fleet, route: &str, ends_at: Instant) -> (usize, usize) {
    let counted_from = ends_at - COUNTED_TIME;
    let (mut sent, mut served) = (0, 0);
    let mut number = 0;
    while Instant::now() < ends_at {
        let is_counted = Instant::now() >= counted_from;
        let id = format!("sound-{number}");
        let path = format!("/{route}/{}", number % 20);
        let answer = fleet.call_path(number % ENTRIES, &id, &path).await;
        if is_counted {
            sent += 1;
            served += usize::from(answer.is_whole && answer.status.is_success());
        }
        number += 1;
        sleep(SOUND_PAUSE).await;
    }
    (sent, served)
}

/// Plays the harmful request beside sound ones and checks both.
async fn play(settings: FleetSettings, route: &str) {
    let fleet = Fleet::start(settings).await;
    let ends_at = Instant::now() + PLAY_TIME;
    let sound = send_sound(&fleet, route, ends_at);
    let ((), (sent, served)) = join(send_harmful(&fleet, route, ends_at), sound).await;
    let seen = fleet.seen.lock();
    let known_end = seen.ends.get(KNOWN_ENDS - 1).unwrap();
    let reached = seen.reached.iter();
    let late = reached.filter(|at| **at > *known_end + SPREAD_LIMIT);
    let late = late.count();
    assert!(
        late <= MAX_LATE,
        "{route}: the request reached targets {late} times late, {} targets ended",
        seen.ends.len()
    );
    assert!(
        served * 20 >= sent * 19,
        "{route}: {served} of {sent} sound requests were served"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_ends_targets_is_no_longer_sent_once_it_is_known() {
    for targets in [3, 10] {
        let settings = FleetSettings {
            targets,
            is_plain: true,
            ..FleetSettings::default()
        };
        play(settings, "read").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_run_once_and_ends_targets_is_no_longer_sent_once_it_is_known() {
    let settings = FleetSettings {
        targets: 3,
        is_plain: true,
        ..FleetSettings::default()
    };
    play(settings, "once").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_own_content_ends_targets_is_no_longer_sent_once_it_is_known() {
    play(FleetSettings::default(), "stream").await;
}
