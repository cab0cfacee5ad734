//! Tunnels pass bytes on unchanged, and their end tells whether the target's connection ended regularly.

#![allow(clippy::unwrap_used)]

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mgw_member::{MemberSettings, NodeInfo, NodePhase, NodeRole, View};
use mgw_peer::{
    ByteStream, IncomingTunnel, PeerError, PeerPool, TunnelFailure, TunnelHandler, TunnelRefusal,
    TunnelRequest, ViewServer, bind_peer_listener, channel_handler, serve_peers_and_tunnels,
};
use mgw_route::TargetRun;
use mgw_world::{Clock, Incarnation, Millis, Revision};
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

const TIMEOUT_MS: Millis = Millis(5_000);

/// What a target does after it has read the first bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// A target that answers `ping` with a large answer and then ends its connection.
async fn start_target(end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut ping = [0; 4];
        stream.read_exact(&mut ping).await.unwrap();
        assert_eq!(&ping, b"ping");
        stream.write_all(&answer()).await.unwrap();
        if end == End::Reset {
            tokio::time::sleep(Duration::from_millis(200)).await;
            stream.set_zero_linger().unwrap();
        }
    });
    address
}

fn answer() -> Vec<u8> {
    (0..100_000_u32).flat_map(u32::to_be_bytes).collect()
}

fn view_server() -> ViewServer {
    let clock = Clock::monotonic();
    let info = NodeInfo {
        name: "server".into(),
        role: NodeRole::Entry,
        place: "home".into(),
        incarnation: Incarnation(1),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        url: String::new(),
        weight: 1,
        phase: NodePhase::Serving,
        revision: Revision(0),
    };
    let view = View::new(MemberSettings::default(), info, &[], 1, clock.now());
    ViewServer {
        view: Arc::new(Mutex::new(view)),
        clock,
    }
}

/// Starts a process that serves calls, and tunnels with `handle`.
async fn start_peer(handle: TunnelHandler) -> SocketAddr {
    let listener = bind_peer_listener("127.0.0.1:0".parse().unwrap()).await;
    let listener = listener.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_peers_and_tunnels(
        listener,
        None,
        channel_handler!(view_server()),
        Some(handle),
        CancellationToken::new(),
    ));
    address
}

async fn pass(tunnel: IncomingTunnel) {
    let target = TcpStream::connect(tunnel.request().address).await.unwrap();
    let _ = tunnel.pass(target).await;
}

fn passing() -> TunnelHandler {
    Arc::new(|tunnel| {
        tokio::spawn(pass(tunnel));
    })
}

async fn open(peer: SocketAddr, target: SocketAddr) -> Result<Box<dyn ByteStream>, TunnelFailure> {
    let request = TunnelRequest {
        id: "a".to_owned(),
        entry: "entry".into(),
        target: TargetRun {
            name: "target".into(),
            incarnation: Incarnation(1),
        },
        address: target,
        time_left_ms: TIMEOUT_MS,
    };
    PeerPool::new(None)
        .open_tunnel(peer, TIMEOUT_MS, &request)
        .await
}

/// Reads to the end; the error tells that the tunnel has broken.
async fn exchange(mut tunnel: Box<dyn ByteStream>) -> (Vec<u8>, std::io::Result<()>) {
    tunnel.write_all(b"ping").await.unwrap();
    tunnel.flush().await.unwrap();
    let mut read = Vec::new();
    let end = tunnel.read_to_end(&mut read).await;
    (read, end.map(|_| ()))
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_arrive_unchanged_and_a_regular_end_stays_one() {
    let peer = start_peer(passing()).await;
    let target = start_target(End::Close).await;
    let (read, end) = exchange(open(peer, target).await.unwrap()).await;
    assert_eq!(read, answer());
    assert!(end.is_ok(), "{end:?}");
}

/// An answer that ends with its connection would look whole otherwise.
#[tokio::test(flavor = "multi_thread")]
async fn a_reset_by_the_target_is_no_regular_end() {
    let peer = start_peer(passing()).await;
    let target = start_target(End::Reset).await;
    let (read, end) = exchange(open(peer, target).await.unwrap()).await;
    assert!(answer().starts_with(&read));
    assert!(end.is_err(), "{} bytes and a regular end", read.len());
}

/// The process is killed: its connections are closed without a word.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_the_process_on_the_way_is_no_regular_end() {
    let peer = start_peer(Arc::new(|tunnel| {
        tokio::spawn(async move {
            let _ = tokio::time::timeout(Duration::from_millis(300), pass(tunnel)).await;
        });
    }))
    .await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    let accepting = tokio::spawn(async move { listener.accept().await.unwrap() });
    let (read, end) = exchange(open(peer, target).await.unwrap()).await;
    drop(accepting);
    assert!(read.is_empty());
    assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_tells_its_reason() {
    let peer = start_peer(Arc::new(|tunnel| {
        tokio::spawn(tunnel.refuse(TunnelRefusal::CutOff));
    }))
    .await;
    let target = "127.0.0.1:1".parse().unwrap();
    let failure = open(peer, target).await.err();
    assert_eq!(failure, Some(TunnelFailure::Refused(TunnelRefusal::CutOff)));
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_at_the_address_of_tunnels() {
    let peer = start_peer(passing()).await;
    let pool = PeerPool::new(None);
    for _ in 0..3 {
        let answered = pool
            .call(peer, TIMEOUT_MS, |client, context| async move {
                client.founding(context).await
            })
            .await;
        assert_eq!(answered.unwrap(), Err(PeerError::NotAControl));
    }
}
