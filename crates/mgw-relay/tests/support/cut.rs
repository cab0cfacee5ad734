//! Entries whose links to the targets a test cuts, while callers, controls and other entries still reach them.

#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::Full;
use hyper::Request;
use mgw_relay::{Dial, Relay, RelaySettings};
use mgw_serve::Shutdown;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::{
    ADAPTER, Answer, POLL_INTERVAL, Standin, System, TEST_TIMEOUT, call, relay_settings, request,
};

/// How links to targets fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// New connections hang and open ones fall silent.
    Silent,
    /// New connections are refused and open ones are reset.
    Resets,
    /// New connections are refused and open ones go on.
    OpenLive,
}

/// The links of one entry to the targets; clones share them.
#[derive(Clone)]
pub struct Links(Arc<Mutex<LinkStates>>);

/// How the links to one target, or to all of them, are cut.
type LinkStates = HashMap<Option<SocketAddr>, watch::Sender<Option<Cut>>>;

impl Links {
    fn new() -> Self {
        Self(Arc::default())
    }

    /// Cuts the links to all targets.
    pub fn cut(&self, cut: Cut) {
        self.state_of(None).send_replace(Some(cut));
    }

    /// Joins the links to all targets again.
    pub fn join(&self) {
        self.state_of(None).send_replace(None);
    }

    /// Cuts or joins the link to one target.
    pub fn set_target(&self, target: SocketAddr, cut: Option<Cut>) {
        self.state_of(Some(target)).send_replace(cut);
    }

    fn state_of(&self, target: Option<SocketAddr>) -> watch::Sender<Option<Cut>> {
        let mut states = self.0.lock();
        let state = states
            .entry(target)
            .or_insert_with(|| watch::Sender::new(None));
        state.clone()
    }

    fn dial(&self) -> Dial {
        let links = self.clone();
        Arc::new(move |target| links.clone().connect(target).boxed())
    }

    /// Connects to a proxy of the connection's own, which obeys the state of the links.
    async fn connect(self, target: SocketAddr) -> std::io::Result<TcpStream> {
        let states = [self.state_of(None), self.state_of(Some(target))];
        for state in &states {
            let cut = *state.borrow();
            match cut {
                None => {}
                Some(Cut::Silent) => {
                    // As a packet that is lost: the connection hangs until the caller gives it up.
                    std::future::pending::<()>().await;
                }
                Some(_) => return Err(std::io::ErrorKind::ConnectionRefused.into()),
            }
        }
        let to_target = TcpStream::connect(target).await?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let entry_side = TcpStream::connect(listener.local_addr()?).await?;
        let (proxy_side, _) = listener.accept().await?;
        let [all, one] = states.map(|state| state.subscribe());
        tokio::spawn(pass_both_ways(proxy_side, to_target, all, one));
        Ok(entry_side)
    }
}

/// Passes bytes on until one side ends or the links reset.
async fn pass_both_ways(
    mut entry: TcpStream,
    mut target: TcpStream,
    mut all: watch::Receiver<Option<Cut>>,
    mut one: watch::Receiver<Option<Cut>>,
) {
    let (mut up, mut down) = ([0; 4_096], [0; 4_096]);
    loop {
        let cuts = [*all.borrow_and_update(), *one.borrow_and_update()];
        if cuts.contains(&Some(Cut::Resets)) {
            let _ = entry.set_zero_linger();
            let _ = target.set_zero_linger();
            return;
        }
        if cuts.contains(&Some(Cut::Silent)) {
            tokio::select! {
                _ = all.changed() => {}
                _ = one.changed() => {}
            }
            continue;
        }
        let is_over = tokio::select! {
            read = entry.read(&mut up) => pass(read, &up, &mut target).await,
            read = target.read(&mut down) => pass(read, &down, &mut entry).await,
            changed = all.changed() => changed.is_err(),
            changed = one.changed() => changed.is_err(),
        };
        if is_over {
            return;
        }
    }
}

/// Returns whether the connection is over.
async fn pass(read: std::io::Result<usize>, bytes: &[u8], into: &mut TcpStream) -> bool {
    match read {
        Ok(count @ 1..) => into.write_all(&bytes[..count]).await.is_err(),
        _ => true,
    }
}

/// An entry with links of its own.
pub struct Entry {
    pub relay: Relay,
    pub listen: SocketAddr,
    /// Address at which the other processes reach it.
    pub peer_listen: SocketAddr,
    pub links: Links,
}

impl Entry {
    pub async fn call(&self, id: &str, path: &str) -> Answer {
        call(self.listen, request(id, path)).await
    }

    /// Calls the entry in the background.
    pub fn send(&self, request: Request<Full<Bytes>>) -> JoinHandle<Answer> {
        tokio::spawn(call(self.listen, request))
    }
}

/// Several entries before the same targets. The first entry, `system.relay`, keeps its links.
pub struct CutFleet {
    pub system: System,
    pub entries: Vec<Entry>,
}

impl CutFleet {
    pub async fn start(targets: &[&Standin], entries: usize) -> Self {
        let mut fleet = Self {
            system: System::start(targets).await,
            entries: Vec::new(),
        };
        for _ in 0..entries {
            fleet.add_entry(None).await;
        }
        fleet
    }

    /// Starts an entry, whose links may be cut from the beginning, and waits until it is ready.
    pub async fn add_entry(&mut self, cut: Option<Cut>) {
        let settings = RelaySettings {
            name: format!("entry-{}", self.entries.len()).as_str().into(),
            controls: vec![self.system.control_address],
            ..relay_settings()
        };
        let (listen, peer_listen) = (settings.listen, settings.peer_listen);
        let links = Links::new();
        if let Some(cut) = cut {
            links.cut(cut);
        }
        let reload = Box::new(Vec::new);
        let shutdown = Shutdown::default();
        let relay = Relay::start_with(settings, ADAPTER, reload, shutdown, links.dial());
        let relay = relay.await.unwrap();
        let from = Instant::now();
        while !relay.is_ready() {
            assert!(from.elapsed() < TEST_TIMEOUT, "not ready in time");
            sleep(POLL_INTERVAL).await;
        }
        self.entries.push(Entry {
            relay,
            listen,
            peer_listen,
            links,
        });
        // The entries hear of each other by way of the control.
        sleep(Duration::from_millis(500)).await;
    }

    /// Cuts the links of these entries and lets callers go on there until `for_time` has passed.
    pub async fn cut(&self, entries: &[usize], cut: Cut, for_time: Duration) {
        for entry in entries {
            self.entries[*entry].links.cut(cut);
        }
        let from = Instant::now();
        let mut number = 0;
        while from.elapsed() < for_time {
            for entry in entries {
                number += 1;
                for path in ["/stream/x", "/read/x"] {
                    let id = format!("during-{cut:?}-{path}-{entry}-{number}");
                    drop(self.entries[*entry].send(request(&id, path)));
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
}
