//! Callers of an entry that has lost its own links to the targets are served, as long as another entry
//! reaches them.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderValue;
use support::{Behaviour, Cut, CutFleet, Seen, Standin, names, request, whole_stream};
use tokio::time::sleep;

/// Time from the beginning of a cut after which callers of the entry must be served.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Time that callers give, in milliseconds.
const TIME_MS: u64 = 20_000;
/// Most targets that the routes allow for a request.
const MAX_SENDS: usize = 2;
const PATHS: [&str; 3] = ["/stream/x", "/read/x", "/once/x"];
/// Requests of each kind at each entry.
const REQUESTS: usize = 9;
/// Of which so many must be served at the first attempt.
const MIN_SERVED: usize = 6;

struct Targets {
    engines: Vec<Standin>,
    records: Vec<Standin>,
}

impl Targets {
    async fn start() -> Self {
        let mut targets = Self {
            engines: Vec::new(),
            records: Vec::new(),
        };
        for number in 0..4 {
            let name = format!("engine-{number}");
            targets.engines.push(Standin::start(&name, true, &[]).await);
        }
        for number in 0..3 {
            let name = format!("records-{number}");
            targets
                .records
                .push(Standin::start(&name, false, &[]).await);
        }
        targets
    }

    fn all(&self) -> Vec<&Standin> {
        self.engines.iter().chain(&self.records).collect()
    }

    /// What targets have seen of a request.
    fn seen(&self, id: &str) -> Vec<Seen> {
        let all = self.all();
        let seen = all.iter().flat_map(|target| target.seen());
        seen.filter(|seen| seen.id == id).collect()
    }

    /// How often a request ran.
    fn runs(&self, id: &str) -> usize {
        self.seen(id).len()
    }

    fn plan(&self, behaviour: Behaviour) {
        for target in self.all() {
            target.plan(behaviour);
        }
    }
}

/// Calls each entry of the list and checks that its callers are served, that nothing runs twice that must not,
/// and that what is refused as not run hasn't run.
async fn check_served(fleet: &CutFleet, targets: &Targets, entries: &[usize], case: &str) {
    for entry in entries {
        for path in PATHS {
            let mut served = 0;
            for number in 0..REQUESTS {
                let id = format!("{case} {path} {entry} {number}");
                let answer = fleet.entries[*entry].call(&id, path).await;
                let is_stream = path == "/stream/x";
                let is_served = answer.status == StatusCode::OK && answer.is_whole;
                if is_served && is_stream {
                    assert_eq!(answer.body, whole_stream(), "{id}");
                }
                if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                    assert_eq!(targets.runs(&id), 0, "{id}: refused as not run");
                }
                if path == "/once/x" {
                    assert!(targets.runs(&id) <= 1, "{id}: ran twice");
                }
                for seen in targets.seen(&id) {
                    assert!(!seen.has_key, "{id}: the key was passed on");
                    assert_eq!(seen.workspace.as_deref(), Some("marshals"), "{id}");
                    let time_left_ms = seen.time_left_ms.unwrap();
                    assert!(time_left_ms <= TIME_MS, "{id}: {time_left_ms} ms");
                }
                assert!(targets.runs(&id) <= MAX_SENDS, "{id}: sent too often");
                served += usize::from(is_served);
            }
            assert!(
                served >= MIN_SERVED,
                "{case}: entry {entry} served {served} of {REQUESTS} requests to {path}"
            );
        }
    }
}

/// Checks that an entry whose links work isn't misled by what the others report of the targets.
async fn check_sound_entry(fleet: &CutFleet) {
    for path in PATHS {
        for number in 0..REQUESTS {
            let id = format!("sound {path} {number}");
            let answer = fleet.system.call(&id, path).await;
            assert_eq!(answer.status, StatusCode::OK, "{id}: {}", answer.body);
        }
    }
}

async fn check_cut(cut: Cut, entries: &[usize]) {
    let targets = Targets::start().await;
    let fleet = CutFleet::start(&targets.all(), 3).await;
    check_served(&fleet, &targets, &[0, 1, 2], "before").await;
    fleet.cut(entries, cut, STABILITY_WINDOW).await;
    check_sound_entry(&fleet).await;
    check_served(&fleet, &targets, &[0, 1, 2], "cut").await;
    for entry in entries {
        fleet.entries[*entry].links.join();
    }
    sleep(Duration::from_millis(1_500)).await;
    check_served(&fleet, &targets, entries, "joined").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_one_entry_are_served_while_its_links_are_silent() {
    check_cut(Cut::Silent, &[0]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_one_entry_are_served_while_its_links_are_reset() {
    check_cut(Cut::Resets, &[0]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_one_entry_are_served_while_only_its_open_links_live() {
    check_cut(Cut::OpenLive, &[0]).await;
}

/// A whole zone of entries: all but one of them.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_all_but_one_entry_are_served_while_their_links_are_silent() {
    check_cut(Cut::Silent, &[0, 1, 2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_all_but_one_entry_are_served_while_their_links_are_reset() {
    check_cut(Cut::Resets, &[0, 1, 2]).await;
}

/// Links are cut again soon after they were joined; an entry starts behind the second cut, and a new document is
/// accepted meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_in_a_second_cut_by_an_entry_that_starts_and_on_a_route_that_is_added() {
    let targets = Targets::start().await;
    let mut fleet = CutFleet::start(&targets.all(), 2).await;
    for cut in [Cut::Resets, Cut::Silent] {
        fleet.cut(&[0, 1], cut, STABILITY_WINDOW).await;
        check_served(&fleet, &targets, &[0, 1], &format!("{cut:?}")).await;
        if cut == Cut::Resets {
            fleet.entries[0].links.join();
            fleet.entries[1].links.join();
            sleep(Duration::from_millis(1_000)).await;
        }
    }
    fleet.add_entry(Some(Cut::Silent)).await;
    fleet.system.replace_routing(2).await;
    fleet.cut(&[2], Cut::Silent, STABILITY_WINDOW).await;
    check_served(&fleet, &targets, &[0, 1, 2], "second").await;
    for number in 0..REQUESTS {
        let id = format!("later {number}");
        let answer = fleet.entries[2].call(&id, "/later/x").await;
        assert_eq!(answer.status, StatusCode::OK, "{id}: {}", answer.body);
    }
}

/// The targets stream slowly and answer calls late, so that the links fall silent under them.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_and_calls_that_may_have_run_are_not_called_not_run() {
    let targets = Targets::start().await;
    let fleet = CutFleet::start(&targets.all(), 2).await;
    check_served(&fleet, &targets, &[0], "before").await;
    targets.plan(Behaviour::Slow);
    let mut streams = Vec::new();
    let mut calls = Vec::new();
    for number in 0..3 {
        streams.push(fleet.entries[0].send(request(&format!("stream {number}"), "/stream/x")));
        let id = format!("once {number}");
        let mut request = request(&id, "/once/x");
        let time_ms = HeaderValue::from_static("2500");
        request.headers_mut().insert(names::TIME, time_ms);
        calls.push((id, fleet.entries[0].send(request)));
    }
    sleep(Duration::from_millis(600)).await;
    fleet.cut(&[0], Cut::Silent, Duration::ZERO).await;
    for stream in streams {
        let answer = stream.await.unwrap();
        assert!(answer.is_whole, "broken off: {}", answer.body);
        assert_eq!(answer.body, whole_stream());
    }
    for (id, call) in calls {
        let answer = call.await.unwrap();
        assert_eq!(targets.runs(&id), 1, "{id}");
        let promises_not_run = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(!promises_not_run, "{id}: {}", answer.body);
    }
}

/// A target that says nothing for a second is sound: its streams arrive whole, and it gets requests again.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_is_silent_for_a_second_is_not_lost() {
    let targets = Targets::start().await;
    let fleet = CutFleet::start(&targets.all(), 1).await;
    check_served(&fleet, &targets, &[0], "before").await;
    targets.plan(Behaviour::Slow);
    let mut streams = Vec::new();
    for number in 0..4 {
        streams.push(fleet.entries[0].send(request(&format!("stream {number}"), "/stream/x")));
    }
    sleep(Duration::from_millis(600)).await;
    let silent = &targets.engines[0];
    let links = &fleet.entries[0].links;
    links.set_target(silent.address, Some(Cut::Silent));
    sleep(Duration::from_millis(1_000)).await;
    links.set_target(silent.address, None);
    for stream in streams {
        let answer = stream.await.unwrap();
        assert!(answer.is_whole, "broken off: {}", answer.body);
        assert_eq!(answer.body, whole_stream());
    }
    sleep(Duration::from_millis(1_500)).await;
    let seen_before = silent.seen().len();
    check_served(&fleet, &targets, &[0], "after").await;
    assert!(silent.seen().len() > seen_before, "gets no requests again");
}

/// The links to all targets of one service are cut, those to the others work. Another entry reaches them.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_the_links_to_one_service_are_reset() {
    let targets = Targets::start().await;
    let fleet = CutFleet::start(&targets.all(), 1).await;
    check_served(&fleet, &targets, &[0], "before").await;
    for record in &targets.records {
        let links = &fleet.entries[0].links;
        links.set_target(record.address, Some(Cut::Resets));
    }
    sleep(STABILITY_WINDOW).await;
    check_served(&fleet, &targets, &[0], "cut").await;
}
