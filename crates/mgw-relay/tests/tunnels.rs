//! What an entry does for others whose links are cut: only what it can do itself, and only beside its own callers.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use mgw_peer::{ByteStream, PeerPool, TunnelFailure, TunnelRefusal, TunnelRequest};
use mgw_route::TargetRun;
use mgw_world::{Incarnation, Millis};
use support::{Behaviour, Cut, CutFleet, Standin};
use tokio::io::AsyncReadExt;

const TIMEOUT_MS: Millis = Millis(5_000);
/// More tunnels than an entry serves.
const TUNNELS: usize = 200;

fn request_for(target: &Standin) -> TunnelRequest {
    TunnelRequest {
        id: "a".to_owned(),
        entry: "other".into(),
        target: TargetRun {
            name: target.name.as_str().into(),
            incarnation: Incarnation(1),
        },
        address: target.address,
        time_left_ms: Millis(20_000),
    }
}

async fn open(
    peer: SocketAddr,
    request: &TunnelRequest,
) -> Result<Box<dyn ByteStream>, TunnelFailure> {
    let pool = PeerPool::new(None);
    pool.open_tunnel(peer, TIMEOUT_MS, request).await
}

async fn refusal(peer: SocketAddr, request: &TunnelRequest) -> Option<TunnelFailure> {
    open(peer, request).await.err()
}

/// Each row changes a request that would be served.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_opens_no_tunnel_to_what_it_would_not_send_requests_to() {
    let one = Standin::start("one", false, &[Behaviour::Leaving]).await;
    let stranger = Standin::start("stranger", false, &[]).await;
    let fleet = CutFleet::start(&[&one], 1).await;
    let entry = &fleet.entries[0];
    let sound = request_for(&one);
    assert!(open(entry.peer_listen, &sound).await.is_ok());
    let mut successor = sound.clone();
    successor.target.incarnation = Incarnation(2);
    let other_address = TunnelRequest {
        address: stranger.address,
        ..sound.clone()
    };
    for request in [request_for(&stranger), successor, other_address] {
        let not_usable = TunnelFailure::Refused(TunnelRefusal::NotUsable);
        let refused = refusal(entry.peer_listen, &request).await;
        assert_eq!(refused, Some(not_usable), "{request:?}");
    }
    // The target tells the entry in its answer that it is leaving.
    let answer = entry.call("b", "/read/x").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(refusal(entry.peer_listen, &sound).await.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_is_cut_off_itself_refuses_tunnels() {
    let one = Standin::start("one", false, &[]).await;
    let fleet = CutFleet::start(&[&one], 1).await;
    let entry = &fleet.entries[0];
    fleet
        .cut(&[0], Cut::Silent, Duration::from_millis(1_500))
        .await;
    let refused = refusal(entry.peer_listen, &request_for(&one)).await;
    assert_eq!(refused, Some(TunnelFailure::Refused(TunnelRefusal::CutOff)));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_refuses_further_tunnels_and_serves_its_own_callers() {
    let one = Standin::start("one", false, &[]).await;
    let fleet = CutFleet::start(&[&one], 1).await;
    let entry = &fleet.entries[0];
    let mut tunnels = Vec::new();
    let mut refused = 0;
    for _ in 0..TUNNELS {
        match open(entry.peer_listen, &request_for(&one)).await {
            Ok(tunnel) => tunnels.push(tunnel),
            Err(failure) => {
                assert_eq!(failure, TunnelFailure::Refused(TunnelRefusal::Full));
                refused += 1;
            }
        }
    }
    assert!(refused > 0, "{} tunnels are open", tunnels.len());
    for path in ["/read/x", "/once/x"] {
        let answer = entry.call(path, path).await;
        assert_eq!(answer.status, StatusCode::OK, "{path}: {}", answer.body);
    }
    // Room is given back when tunnels are closed.
    tunnels.truncate(1);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(open(entry.peer_listen, &request_for(&one)).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_tunnel_ends_with_the_time_of_its_request() {
    let one = Standin::start("one", false, &[]).await;
    let fleet = CutFleet::start(&[&one], 1).await;
    let request = TunnelRequest {
        time_left_ms: Millis(300),
        ..request_for(&one)
    };
    let mut tunnel = open(fleet.entries[0].peer_listen, &request).await.unwrap();
    let mut bytes = Vec::new();
    let reading = tokio::time::timeout(Duration::from_secs(10), tunnel.read_to_end(&mut bytes));
    assert!(reading.await.unwrap().is_err(), "a regular end");
}
