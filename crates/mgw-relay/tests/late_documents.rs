//! Routing documents that reach a relay late, or from only some of the controls that report them.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use mgw_control::{Control, Founding};
use mgw_relay::{Relay, RelaySettings};
use mgw_routing::RoutingDocument;
use mgw_serve::Shutdown;
use mgw_testkit::{free_address, start_slow_link};
use mgw_world::RoutingVersion;
use support::{ADAPTER, ControlFront, FrontState, relay_settings, start_control_alone};
use tempfile::TempDir;
use tokio::time::sleep;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The large document takes about two seconds on such a link, more than twice the time that one
/// call may take.
const LINK_BYTES_PER_MS: u32 = 250;
/// Hexadecimal digits in the large document; they shrink to half when compressed.
const DIGITS: usize = 1_000_000;

/// Each fetch was given up before its end and began anew from the first byte, so that none ever
/// ended.
#[tokio::test]
async fn a_document_that_is_transferred_longer_than_one_call_lasts_comes_into_force() {
    let control = start_control_with(2, DIGITS).await;
    let front = ControlFront::start(control.at, 2).await;
    let link = start_slow_link(front, LINK_BYTES_PER_MS).await.unwrap();
    let relay = start_relay(vec![link]).await;
    wait_for_version(&relay, 2).await;
}

/// Calls fail now and then. What has arrived was dropped at each failed call.
#[tokio::test]
async fn a_transfer_whose_calls_fail_now_and_then_asks_for_no_part_twice() {
    let control = start_control_with(2, DIGITS).await;
    let state = Arc::new(FrontState::default());
    state.report(2);
    state.refuse_every_second();
    let front = ControlFront::start_with(control.at, Arc::clone(&state)).await;
    let relay = start_relay(vec![front]).await;
    wait_for_version(&relay, 2).await;
    let offsets = state.sent_offsets();
    assert!(offsets.len() > 4, "{offsets:?}");
    assert!(offsets.is_sorted_by(|one, next| one < next), "{offsets:?}");
}

/// A control that has lost its disk, or has been started again, doesn't have the version that it
/// reported before. The relay asked it again and again, and no other control.
#[tokio::test]
async fn a_control_without_the_version_that_it_reported_is_passed_over() {
    let behind = start_control_with(1, 0).await;
    let current = start_control_with(2, 0).await;
    let fronts = vec![
        ControlFront::start(behind.at, 9).await,
        ControlFront::start(current.at, 2).await,
    ];
    let relay = start_relay(fronts).await;
    wait_for_version(&relay, 2).await;
}

/// A transfer is interrupted, and a newer version is accepted before it goes on. The control holds
/// both; the version that it reported isn't the one whose transfer ends first.
#[tokio::test]
async fn a_version_accepted_during_a_transfer_comes_into_force_after_it() {
    let control = start_control_with(2, DIGITS).await;
    let state = Arc::new(FrontState::default());
    state.report(2);
    let front = ControlFront::start_with(control.at, Arc::clone(&state)).await;
    let link = start_slow_link(front, LINK_BYTES_PER_MS).await.unwrap();
    let relay = start_relay(vec![link]).await;
    sleep(Duration::from_millis(700)).await;
    state.refuse(true);
    replace_document(&control.control, 3, DIGITS).await;
    state.report(3);
    sleep(Duration::from_millis(2_000)).await;
    state.refuse(false);
    wait_for_version(&relay, 3).await;
}

/// A control with a routing document.
struct DocumentControl {
    at: SocketAddr,
    control: Control,
    _data: TempDir,
}

/// Starts a control that holds a document with so many random digits behind its version.
async fn start_control_with(version: u64, digits: usize) -> DocumentControl {
    let at = free_address();
    let (control, data) = start_control_alone(at, vec![at], Founding::Alone).await;
    replace_document(&control, version, digits).await;
    DocumentControl {
        at,
        control,
        _data: data,
    }
}

/// Commits a document with so many random digits behind its version.
async fn replace_document(control: &Control, version: u64, digits: usize) {
    let mut source = format!("{version}\n");
    let mut random = 1_u64;
    while source.len() < digits {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        source.push_str(&format!("{:08x}", random >> 32));
    }
    let document = RoutingDocument {
        version: RoutingVersion(version),
        source: source.into_bytes().into(),
    };
    let handle = control.handle();
    let from = Instant::now();
    while handle.replace_routing(document.clone()).await.is_err() {
        assert!(from.elapsed() < TEST_TIMEOUT, "no leader");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn start_relay(controls: Vec<SocketAddr>) -> Relay {
    let settings = RelaySettings {
        controls,
        ..relay_settings()
    };
    let started = Relay::start(settings, ADAPTER, Box::new(Vec::new), Shutdown::default());
    started.await.unwrap()
}

async fn wait_for_version(relay: &Relay, version: u64) {
    let line = format!("mgw_relay_routing_version {version}");
    let from = Instant::now();
    loop {
        let page = relay.metrics().into_body().collect().await.unwrap();
        if String::from_utf8_lossy(&page.to_bytes()).contains(&line) {
            return;
        }
        assert!(
            from.elapsed() < TEST_TIMEOUT,
            "version {version} isn't in force"
        );
        sleep(Duration::from_millis(20)).await;
    }
}
