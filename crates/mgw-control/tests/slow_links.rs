//! A group of controls whose links are slow compared with the size of the routing document.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mgw_control::{
    Control, ControlSettings, Founding, Peer, QuorumSettings, RunError, start_control,
};
use mgw_routing::RoutingDocument;
use mgw_serve::Shutdown;
use mgw_testkit::{free_address, start_slow_link};
use mgw_world::RoutingVersion;
use tempfile::TempDir;
use tokio::time::sleep;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const NAMES: [&str; 3] = ["a", "b", "c"];
/// The document takes over a second on such a link, twice the timeout of a delivery.
const LINK_BYTES_PER_MS: u32 = 1_000;
const ROUTES: u32 = 6_000;

/// Without a bound on the size of what passes each link, no delivery of the document ended in time,
/// each was sent again from its first byte, and the heartbeats behind it came too late.
#[tokio::test]
async fn a_large_routing_document_is_committed_over_slow_links() {
    let controls = start_group().await;
    for version in [1, 2] {
        let document = document_of_many_routes(version);
        let from = Instant::now();
        let handle = controls[0].0.handle();
        while handle.replace_routing(document.clone()).await.is_err() {
            assert!(from.elapsed() < TEST_TIMEOUT, "not committed in time");
        }
        for (control, _) in &controls {
            let handle = control.handle();
            while handle.read_routing().await.ok() != Some(document.clone()) {
                assert!(from.elapsed() < TEST_TIMEOUT, "not read back in time");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

fn document_of_many_routes(version: u64) -> RoutingDocument {
    let route = |number: u32| {
        let id = number.wrapping_mul(2_654_435_761) % 9_999_991;
        format!(
            "{{\"name\":\"r-{id}\",\"host\":\"drills.example\",\"path\":\"/{id}/\",\"kind\":\"safe\",\
             \"timeoutMs\":20000,\"service\":\"pool\",\"maxAttempts\":2,\"public\":false,\"priority\":1,\
             \"targetLatencyMs\":500,\"stickySessions\":false,\"resumable\":false,\"targetGapMs\":0}},"
        )
    };
    let source: String = (0..ROUTES).map(route).collect();
    RoutingDocument {
        version: RoutingVersion(version),
        source: source.into_bytes().into(),
    }
}

/// Starts three controls. Each reaches each other one over a slow link of its own.
async fn start_group() -> Vec<(Control, TempDir)> {
    let addresses = NAMES.map(|_| free_address());
    let mut controls = Vec::new();
    for own in 0..NAMES.len() {
        let mut peers = Vec::new();
        for (name, address) in NAMES.iter().zip(addresses) {
            let address = if *name == NAMES[own] {
                address
            } else {
                start_slow_link(address, LINK_BYTES_PER_MS).await.unwrap()
            };
            let name = (*name).into();
            peers.push(Peer { name, address });
        }
        controls.push(start_one(NAMES[own], addresses[own], peers).await.unwrap());
    }
    controls
}

async fn start_one(
    name: &str,
    peer_listen: SocketAddr,
    controls: Vec<Peer>,
) -> Result<(Control, TempDir), RunError> {
    let data = tempfile::tempdir().unwrap();
    let settings = ControlSettings {
        name: name.into(),
        vm: "vm".into(),
        place: "home".into(),
        region: "here".into(),
        listen: free_address(),
        peer_listen,
        data: data.path().join("state"),
        controls,
        group: None,
        quorum: QuorumSettings::default(),
        url: String::new(),
        open_group: false,
        tolerated_losses: 1,
        members: mgw_member::MemberSettings::default(),
        log: mgw_settings::LogSettings::default(),
    };
    let founding = Founding::With(NAMES.map(ToOwned::to_owned).to_vec());
    let control = start_control(settings, founding, Shutdown::default()).await?;
    Ok((control.unwrap(), data))
}
