//! Controls of an open group on loopback addresses, each in a runtime of its own, so that a kill ends all of
//! its tasks at once as the kill of a process does.
#![allow(dead_code, reason = "each test uses a part")]
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use mgw_contract::operator::{STATUS_PATH, StatusReply};
use mgw_control::{
    Control, ControlHandle, ControlSettings, Founding, Peer, QuorumSettings, RunError,
    start_control,
};
use mgw_serve::Shutdown;
use mgw_testkit::free_address;
use tempfile::TempDir;
use tokio::runtime::{Builder, Runtime};

/// Longest wait for a state that the group reaches by itself.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct Running {
    runtime: Runtime,
    control: Control,
}

/// One machine: its addresses and data folder outlive its process.
struct Machine {
    peer_listen: SocketAddr,
    listen: SocketAddr,
    data: PathBuf,
    running: Option<Running>,
}

/// The machines of a group. The first ones found it.
pub struct OpenGroup {
    machines: Vec<Machine>,
    founders: Vec<SocketAddr>,
    root: TempDir,
}

impl OpenGroup {
    /// Starts a group of `count` controls, all of which found it, and waits until it has a leader.
    pub fn start(count: usize) -> Self {
        let mut group = Self {
            machines: Vec::new(),
            founders: (0..count).map(|_| free_address()).collect(),
            root: tempfile::tempdir().unwrap(),
        };
        for address in group.founders.clone() {
            let at = group.add(address);
            let founders = group.founders.iter().map(ToString::to_string);
            group.start_with(at, Founding::With(founders.collect()));
        }
        group.wait_for_voters(count);
        group
    }

    fn add(&mut self, peer_listen: SocketAddr) -> usize {
        let at = self.machines.len();
        self.machines.push(Machine {
            peer_listen,
            listen: free_address(),
            data: self.root.path().join(at.to_string()),
            running: None,
        });
        at
    }

    /// Starts a control on a new machine, at another address.
    pub fn start_successor(&mut self) -> usize {
        let at = self.add(free_address());
        self.start_again(at);
        at
    }

    /// Starts a control that isn't among the founders, or was started before.
    pub fn start_again(&mut self, at: usize) {
        self.start_with(at, Founding::Join);
    }

    fn start_with(&mut self, at: usize, founding: Founding) {
        let peers = self.machines.iter().filter(|it| it.running.is_some());
        let addresses: Vec<SocketAddr> = match founding {
            Founding::Join => peers.map(|it| it.peer_listen).collect(),
            _ => self.founders.clone(),
        };
        let controls = addresses.into_iter().map(|address| Peer {
            name: address.to_string().into(),
            address,
        });
        let machine = &mut self.machines[at];
        let settings = ControlSettings {
            name: machine.peer_listen.to_string().into(),
            vm: "vm".into(),
            place: "home".into(),
            region: "here".into(),
            listen: machine.listen,
            peer_listen: machine.peer_listen,
            data: machine.data.clone(),
            controls: controls.collect(),
            group: None,
            quorum: QuorumSettings::default(),
            url: String::new(),
            open_group: true,
            tolerated_losses: 1,
            members: mgw_member::MemberSettings::default(),
            log: mgw_settings::LogSettings::default(),
        };
        let mut runtime = Builder::new_multi_thread();
        let runtime = runtime.worker_threads(1).enable_all().build().unwrap();
        let control = runtime.block_on(start_once_unlocked(settings, founding));
        machine.running = Some(Running { runtime, control });
    }

    /// Ends a control at once. Its disk stays.
    pub fn kill(&mut self, at: usize) {
        let Running { runtime, control } = self.machines[at].running.take().unwrap();
        drop(control);
        runtime.shutdown_timeout(WAIT_LIMIT);
    }

    /// Asks a control to end, and waits for that.
    pub fn stop(&mut self, at: usize) {
        let Running { runtime, control } = self.machines[at].running.take().unwrap();
        control.shutdown().graceful.cancel();
        runtime.block_on(control.run_until_ended());
        runtime.shutdown_timeout(WAIT_LIMIT);
    }

    /// Waits until the leader counts so many voters, and all of them answer it.
    pub fn wait_for_voters(&self, count: usize) {
        self.wait_until(&format!("{count} voters that answer"), |group| {
            group.gauge("mgw_control_voters") == count
                && group.gauge("mgw_control_voters_unreachable") == 0
        });
    }

    /// Waits until a quorum confirms that a control leads.
    pub fn wait_for_read(&self) {
        self.wait_until("a confirmed read", |group| {
            let running = group.machines.iter().filter_map(|it| it.running.as_ref());
            let mut reads = running.map(|it| {
                let handle = it.control.handle();
                it.runtime.block_on(handle.read_routing())
            });
            reads.any(|read| read.is_ok())
        });
    }

    fn wait_until(&self, what: &str, is_reached: impl Fn(&Self) -> bool) {
        let started = Instant::now();
        while !is_reached(self) {
            assert!(started.elapsed() < WAIT_LIMIT, "not seen: {what}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// The handle of a running control.
    pub fn handle(&self, at: usize) -> ControlHandle {
        self.machines[at].running.as_ref().unwrap().control.handle()
    }

    /// Runs a call to a control in the control's own runtime.
    pub fn block_on<T>(&self, at: usize, call: impl Future<Output = T>) -> T {
        let running = self.machines[at].running.as_ref().unwrap();
        running.runtime.block_on(call)
    }

    /// Number of targets that a control would send new work to.
    pub fn usable_targets(&self, at: usize) -> u32 {
        let page = read_page(self.machines[at].listen, STATUS_PATH);
        let body = page.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        let status: StatusReply = serde_json::from_str(body).unwrap();
        status.targets
    }

    /// Value of a gauge that only the leader sets.
    fn gauge(&self, name: &str) -> usize {
        let running = self.machines.iter().filter(|it| it.running.is_some());
        running.map(|it| read_gauge(it.listen, name)).sum()
    }
}

/// Starts a control as soon as the thread that wrote the data folder before a kill has let go of its lock; the kill of
/// a process ends its threads at once.
async fn start_once_unlocked(settings: ControlSettings, founding: Founding) -> Control {
    let started = Instant::now();
    loop {
        let starting = start_control(settings.clone(), founding.clone(), Shutdown::default());
        match starting.await {
            Err(RunError::Data { message }) if message.contains("held by another process") => {
                assert!(started.elapsed() < WAIT_LIMIT, "{message}");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            control => return control.unwrap().unwrap(),
        }
    }
}

/// Response to a request, head included; empty without a response.
fn read_page(listen: SocketAddr, path: &str) -> String {
    let read = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(listen)?;
        write!(
            stream,
            "GET {path} HTTP/1.1\r\nHost: {listen}\r\nConnection: close\r\n\r\n"
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    read().unwrap_or_default()
}

/// Value of a gauge on a control's metrics page; zero without an answer.
fn read_gauge(listen: SocketAddr, name: &str) -> usize {
    let text = read_page(listen, "/metrics");
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let value = lines.find_map(|(key, value)| (key == name).then(|| value.parse().ok()));
    value.flatten().unwrap_or_default()
}
