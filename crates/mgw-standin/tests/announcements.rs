//! Announcements: lag and loss of reports, and the effect of an entry's reply.

#![allow(clippy::unwrap_used)]

use std::sync::{Arc, Mutex};

use hyper::StatusCode;
use mgw_contract::target::{
    ANNOUNCE_PATH, AnnounceReply, Announcement, CacheEvent, LoadReport, Readiness,
};
use mgw_serve::http::{json_response, read_json, serve};
use mgw_standin::settings::{ReportSettings, Settings};
use mgw_standin::{ReportFilter, start};
use mgw_world::{Incarnation, Millis};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const fn load_report(in_flight: u32) -> LoadReport {
    LoadReport {
        in_flight,
        kv_bytes_used: 0,
        tokens_per_s: 0,
    }
}

#[test]
fn load_reports_are_delayed_by_the_configured_lag() {
    for (lag_ms, expected) in [(0, [1, 2, 3, 4]), (500, [0, 1, 2, 3]), (2000, [0, 0, 0, 0])] {
        let mut filter = ReportFilter::new(ReportSettings {
            load_lag_ms: Millis(lag_ms),
            ..ReportSettings::default()
        });
        let reported = (1..=4).map(|number: u32| {
            let now = Millis(u64::from(number) * 500);
            filter.filter_load(now, load_report(number)).in_flight
        });
        assert_eq!(reported.collect::<Vec<_>>(), expected, "lag {lag_ms}");
    }
}

#[test]
fn lost_reports_are_determined_by_the_seed() {
    let settings = ReportSettings {
        load_lost_percent: 50,
        events_lost_percent: 50,
        seed: 3,
        ..ReportSettings::default()
    };
    let events: Vec<CacheEvent> = (1..=100)
        .map(|sequence| CacheEvent {
            sequence,
            prefix: sequence,
            tokens: 16,
            stored: true,
        })
        .collect();
    let run = || {
        let mut filter = ReportFilter::new(settings);
        let loads =
            (1..=100).map(|number| filter.filter_load(Millis(0), load_report(number)).in_flight);
        let loads: Vec<u32> = loads.collect();
        (loads, filter.filter_events(events.clone()))
    };
    let (loads, remaining) = run();
    assert_eq!((loads.clone(), remaining.clone()), run());
    let reported = (1..)
        .zip(&loads)
        .filter(|(number, load)| number == *load)
        .count();
    assert!((30..70).contains(&reported), "{reported} loads");
    assert!(
        (30..70).contains(&remaining.len()),
        "{} events",
        remaining.len()
    );
}

/// Announcements that an entry received, in order.
type Received = Arc<Mutex<Vec<Announcement>>>;

/// Starts an entry that answers announcements with `reply`. Returns its URL and what it receives.
async fn start_entry(
    reply: impl Fn(&Announcement) -> AnnounceReply + Clone + Send + Sync + 'static,
) -> (String, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let received = Received::default();
    let handler = {
        let received = Arc::clone(&received);
        move |request: hyper::Request<hyper::body::Incoming>| {
            let received = Arc::clone(&received);
            let reply = reply.clone();
            async move {
                assert_eq!(request.uri().path(), ANNOUNCE_PATH);
                let announcement: Announcement = read_json(request.into_body()).await.unwrap();
                let reply = reply(&announcement);
                received.lock().unwrap().push(announcement);
                json_response(StatusCode::OK, &reply)
            }
        }
    };
    let token = CancellationToken::new();
    tokio::spawn(serve(listener, handler, token.clone(), token));
    (url, received)
}

fn default_reply(announcement: &Announcement) -> AnnounceReply {
    AnnounceReply {
        name: announcement.target.name.clone(),
        incarnation: announcement.target.incarnation,
        lease_ms: Millis(1000),
        renew_ms: Millis(5),
        alternatives: Vec::new(),
        drain: false,
        resend_cache: false,
    }
}

/// Waits until the entry has received an announcement that `matches`.
async fn wait_for(received: &Received, matches: impl Fn(&Announcement) -> bool) -> Announcement {
    loop {
        if let Some(announcement) = received.lock().unwrap().iter().find(|one| matches(one)) {
            return announcement.clone();
        }
        tokio::time::sleep(Millis(1).to_duration()).await;
    }
}

fn settings(entries: &[&str]) -> Settings {
    Settings {
        entries: entries.iter().map(|url| (*url).to_owned()).collect(),
        ..Settings::default()
    }
}

#[tokio::test]
async fn an_unreachable_entry_is_skipped_and_sequence_numbers_increase() {
    let (url, received) = start_entry(default_reply).await;
    let running = start(settings(&["http://127.0.0.1:1", &url]))
        .await
        .unwrap();
    let fourth = wait_for(&received, |announcement| announcement.sequence >= 4).await;
    assert_eq!(fourth.target.address, running.address);
    assert_eq!(fourth.readiness, Readiness::Ready);
    let received = received.lock().unwrap();
    assert!(
        received
            .windows(2)
            .all(|pair| pair[0].sequence < pair[1].sequence)
    );
}

#[tokio::test]
async fn a_target_told_to_drain_announces_that_it_is_leaving() {
    let (url, received) = start_entry(|announcement| AnnounceReply {
        drain: true,
        ..default_reply(announcement)
    })
    .await;
    let _running = start(settings(&[&url])).await.unwrap();
    wait_for(&received, |announcement| {
        announcement.readiness == Readiness::Leaving
    })
    .await;
}

#[tokio::test]
async fn a_target_takes_an_incarnation_above_the_one_in_the_reply() {
    let (url, received) = start_entry(|announcement| AnnounceReply {
        incarnation: announcement.target.incarnation.max(Incarnation(1 << 50)),
        ..default_reply(announcement)
    })
    .await;
    let _running = start(settings(&[&url])).await.unwrap();
    let newer = wait_for(&received, |announcement| {
        announcement.target.incarnation > Incarnation(1 << 50)
    })
    .await;
    assert_eq!(newer.sequence, 1);
}

#[tokio::test]
async fn an_alternative_entry_is_used_when_the_entry_fails() {
    let (second, received) = start_entry(default_reply).await;
    let alternative = second.clone();
    let has_replied = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let (first, _) = start_entry(move |announcement| AnnounceReply {
        alternatives: vec![alternative.clone()],
        renew_ms: if has_replied.swap(true, std::sync::atomic::Ordering::SeqCst) {
            panic!("this entry fails from its second reply on")
        } else {
            Millis(1)
        },
        ..default_reply(announcement)
    })
    .await;
    let _running = start(settings(&[&first])).await.unwrap();
    wait_for(&received, |_| true).await;
}

#[tokio::test]
async fn a_standin_that_shuts_down_announces_that_it_is_leaving_and_exits() {
    let (url, received) = start_entry(default_reply).await;
    let running = start(settings(&[&url])).await.unwrap();
    let shutdown_requested = CancellationToken::new();
    shutdown_requested.cancel();
    running.run_until(shutdown_requested).await;
    wait_for(&received, |announcement| {
        announcement.readiness == Readiness::Leaving
    })
    .await;
}
