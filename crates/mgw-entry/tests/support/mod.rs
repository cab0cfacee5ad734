//! A system of real processes on loopback, each test with a folder and ports of its own.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use hyper::{Request, StatusCode};
use mgw_contract::caller::{AddressesReply, CompletionReply, FinalAnswer};
use mgw_contract::operator::{StatusReply, TargetStatus};
use mgw_serve::http::{Body, client, full, read_body};
use mgw_standin::journal::{JournalEvent, JournalLine};
use mgw_testkit::free_address;
use serde::de::DeserializeOwned;
use tempfile::TempDir;

/// How long a test waits for a state before it fails.
const STATE_TIMEOUT: Duration = Duration::from_secs(45);
/// Pause between two checks for a state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for one HTTP request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
const KEY: &str = "example-key-anika-not-for-production";
const KEY_SHA256: &str = "c0c09c7fb35e30c1c889a0fdc7a56aeaf82d8a64f400080bdceb5cf183957504";
const PLACES: [&str; 3] = ["pos-a", "sfo-b", "chg-c"];

/// Number of trials: `MGW_TRIALS` if set, else `default`, which is small for CI.
pub fn trials(default: usize) -> usize {
    let from_env = std::env::var("MGW_TRIALS").ok();
    from_env
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Path of a program: in `MGW_BIN_DIR` if set, else beside the built `mgw-entry`.
pub fn program(name: &str) -> PathBuf {
    let beside = Path::new(env!("CARGO_BIN_EXE_mgw-entry")).with_file_name(name);
    let bin_dir = std::env::var_os("MGW_BIN_DIR");
    let path = bin_dir.map_or(beside, |folder| Path::new(&folder).join(name));
    assert!(
        path.exists(),
        "{path:?} is missing: cargo build --workspace --bins"
    );
    path
}

/// The processes of a system, with their files and addresses by process name.
pub struct System {
    folder: TempDir,
    processes: BTreeMap<String, Child>,
    urls: BTreeMap<String, String>,
    peers: BTreeMap<String, SocketAddr>,
    runtime: tokio::runtime::Runtime,
}

impl Drop for System {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl System {
    /// Starts a control, a number of entries spread over the first two places, and a configuration,
    /// and waits until all entries serve callers.
    pub fn start(entries: usize) -> Self {
        let mut system = Self::empty();
        let names: Vec<String> = (0..entries).map(|n| format!("entry-{n}")).collect();
        for name in names.iter().chain([&"control".to_owned()]) {
            system.reserve(name);
        }
        system.start_control();
        for name in &names {
            system.start_entry(name);
        }
        system.apply_inventory();
        for name in &names {
            system.wait_until(&format!("{name} serves"), |system| system.is_serving(name));
        }
        // What an entry answers when the others fail depends on what its view held of them.
        for asked in &names {
            system.wait_until(&format!("{asked} knows the others"), |system| {
                names.iter().all(|named| system.lists_entry(asked, named))
            });
        }
        system
    }

    /// A system without processes.
    pub fn empty() -> Self {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        Self {
            folder: tempfile::tempdir().expect("folder"),
            processes: BTreeMap::new(),
            urls: BTreeMap::new(),
            peers: BTreeMap::new(),
            runtime: runtime.enable_all().build().expect("runtime"),
        }
    }

    /// Reserves the addresses of a process.
    pub fn reserve(&mut self, name: &str) {
        let url = format!("http://{}", free_address());
        self.urls.insert(name.to_owned(), url);
        self.peers.insert(name.to_owned(), free_address());
    }

    pub fn url(&self, name: &str) -> &str {
        &self.urls[name]
    }

    pub fn entry_names(&self) -> Vec<String> {
        let names = self.peers.keys();
        names
            .filter(|name| name.starts_with("entry"))
            .cloned()
            .collect()
    }

    /// The settings that entries and controls have in common.
    fn node_settings(&self, name: &str, place: &str) -> String {
        let listen = self.url(name).trim_start_matches("http://");
        let mut text = format!(
            "name = \"{name}\"\nvm = \"{name}\"\nplace = \"{place}\"\nregion = \"tt-south\"\n\
             listen = \"{listen}\"\npeer_listen = \"{}\"\ndata = \"{name}.data\"\n",
            self.peers[name]
        );
        for (peer, address) in &self.peers {
            let list = if peer == "control" {
                "controls"
            } else {
                "peers"
            };
            let is_control = name == "control";
            if peer != name && !is_control || is_control && peer == name {
                let _ = writeln!(
                    text,
                    "[[{list}]]\nname = \"{peer}\"\naddress = \"{address}\""
                );
            }
        }
        text
    }

    fn start_control(&mut self) {
        let text = self.node_settings("control", PLACES[0]);
        self.run("control", "mgw-control", &text, &["--found"]);
    }

    pub fn start_entry(&mut self, name: &str) {
        let number: usize = name
            .rsplit('-')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let mut text = self.node_settings(name, PLACES[number % 2]);
        text.push_str("[leaving]\nhear_ms = 1500\n");
        self.run(name, "mgw-entry", &text, &[]);
    }

    /// Starts a stand-in engine that holds the whole model. Its list of entries starts with the one
    /// at index `offset`.
    pub fn start_engine(&mut self, name: &str, place: &str, offset: usize) {
        let mut entries = self.entry_names();
        let count = entries.len();
        entries.rotate_left(offset % count);
        let entries: Vec<String> = entries
            .iter()
            .map(|e| format!("{:?}", self.url(e)))
            .collect();
        let text = format!(
            "role = \"engine\"\nname = \"{name}\"\nvm = \"{name}\"\nplace = \"{place}\"\n\
             listen = \"127.0.0.1:0\"\nentries = [{}]\njournal = \"{name}.journal\"\n\
             leave_limit_ms = 20000\n[engine]\nmodel = \"drill\"\nmodel_layers = 12\n\
             kv_bytes_per_layer = 4096\nactivation_bytes = 8192\nkv_bytes = 1073741824\n",
            entries.join(", ")
        );
        self.run(name, "mgw-standin", &text, &[]);
    }

    /// Writes the settings of a process and starts it.
    fn run(&mut self, name: &str, binary: &str, settings: &str, extra: &[&str]) {
        let file = self.folder.path().join(format!("{name}.toml"));
        std::fs::write(&file, settings).expect("settings");
        let log = self.folder.path().join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("log");
        let child = Command::new(program(binary))
            .args(["--config", file.to_str().expect("path")])
            .args(extra)
            .current_dir(self.folder.path())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("start");
        self.processes.insert(name.to_owned(), child);
    }

    /// Applies the first configuration.
    fn apply_inventory(&self) {
        let mut text = String::new();
        for place in PLACES {
            let _ = writeln!(
                text,
                "[[places]]\nname = \"{place}\"\nregion = \"tt-south\""
            );
        }
        for (from, to) in [(0, 0), (1, 1), (2, 2), (0, 1), (0, 2), (1, 2)] {
            let _ = writeln!(
                text,
                "[[links]]\nfrom = \"{}\"\nto = \"{}\"\nlatency_us = 100\nbytes_per_s = 1000000000",
                PLACES[from], PLACES[to]
            );
        }
        let _ = writeln!(
            text,
            "[[models]]\nname = \"drill\"\nversion = \"v1\"\nlayers = 12\nactivation_bytes = 8192\n\
             kv_bytes_per_layer = 4096\n[[workspaces]]\nname = \"classrooms\"\nweight = 1\n\
             priority = 1\n[[operators]]\nname = \"anika\"\nkey_sha256 = \"{KEY_SHA256}\"\n\
             [rules.requests]\naddress_valid_ms = 1000\n"
        );
        let file = self.folder.path().join("inventory.toml");
        std::fs::write(&file, text).expect("inventory");
        std::fs::write(self.folder.path().join("key"), KEY).expect("key");
        let file = file.to_str().expect("path");
        let apply = [
            "config",
            "apply",
            file,
            "--base",
            "0",
            "--change-id",
            "first",
        ];
        self.wait_until("a configuration", |system| system.run_mgw(&apply));
    }

    /// Runs `mgw` as an operator; returns whether it succeeded.
    pub fn run_mgw(&self, arguments: &[&str]) -> bool {
        let output = Command::new(program("mgw"))
            .args([
                "--at",
                self.url("control"),
                "--operator",
                "anika",
                "--key-file",
            ])
            .arg(self.folder.path().join("key"))
            .args(arguments)
            .output()
            .expect("mgw");
        if !output.status.success() {
            eprintln!("mgw: {}", String::from_utf8_lossy(&output.stderr).trim());
        }
        output.status.success()
    }

    /// Starts an open-loop load for some seconds.
    pub fn start_load(&self, seconds: usize, seed: usize) -> Child {
        let mut load = Command::new(program("mgw-load"));
        for name in self.entry_names() {
            load.args(["--entry", self.url(&name)]);
        }
        let options = [
            ("--rate", "20".to_owned()),
            ("--duration-s", seconds.to_string()),
            ("--max-tokens", "24".to_owned()),
            ("--tries", "6".to_owned()),
            ("--workspace", "classrooms".to_owned()),
            ("--seed", seed.to_string()),
        ];
        for (flag, value) in options {
            load.args([flag, &value]);
        }
        load.args(["--verify", "--json"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        load.spawn().expect("load")
    }

    /// Sends a signal such as `-TERM` to a process.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.processes[name].id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.expect("kill").success(), "{signal} to {name}");
    }

    /// Waits until a process ends by itself; returns whether its exit status was 0.
    pub fn wait_for_exit(&mut self, name: &str) -> bool {
        let mut process = self.processes.remove(name).expect("process");
        process.wait().expect("wait").success()
    }

    /// The log of a process up to now.
    pub fn read_log(&self, name: &str) -> String {
        let path = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Path of a file in the folder of the system.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Checks `reached` until it returns true; fails after [`STATE_TIMEOUT`].
    pub fn wait_until(&self, what: &str, reached: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !reached(self) {
            let in_time = start.elapsed() < STATE_TIMEOUT;
            assert!(
                in_time,
                "timed out waiting for: {what}\n{}",
                self.describe()
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Status and last log lines of all processes, for the message of a failed test.
    fn describe(&self) -> String {
        let names = self.processes.keys();
        let describe = |name: &String| {
            let log = self.read_log(name);
            let tail: Vec<&str> = log.lines().rev().take(6).collect();
            format!("{name}: {:?}\n{tail:#?}\n", self.status(name))
        };
        names.map(describe).collect()
    }

    /// Sends an HTTP request; `None` without an answer in time.
    fn call(&self, request: Request<Body>) -> Option<(StatusCode, Vec<u8>)> {
        let exchange = async {
            let response = client().request(request).await.ok()?;
            let status = response.status();
            let body = read_body(response.into_body()).await.ok()?;
            Some((status, body.to_vec()))
        };
        let limited = async { tokio::time::timeout(ANSWER_TIMEOUT, exchange).await };
        self.runtime.block_on(limited).ok().flatten()
    }

    pub fn get<T: DeserializeOwned>(&self, name: &str, path: &str) -> Option<T> {
        let url = format!("{}{path}", self.url(name));
        let (_, body) = self.call(Request::get(url).body(full("")).ok()?)?;
        serde_json::from_slice(&body).ok()
    }

    pub fn addresses(&self, name: &str) -> Option<AddressesReply> {
        self.get(name, "/v1/addresses")
    }

    /// Whether any of several address answers of the entry `asked` lists the entry `listed`.
    pub fn lists_entry(&self, asked: &str, listed: &str) -> bool {
        let mut answers = (0..12).filter_map(|_| self.addresses(asked));
        answers.any(|answer| {
            answer
                .entries
                .iter()
                .any(|entry| entry.name.as_str() == listed)
        })
    }

    pub fn status(&self, name: &str) -> Option<StatusReply> {
        self.get(name, "/operator/v1/status")
    }

    pub fn is_serving(&self, name: &str) -> bool {
        let status = self.status(name);
        status.is_some_and(|status| status.revision.0 > 0 && self.lists_entry(name, name))
    }

    /// Names of the targets that are eligible at an entry.
    pub fn eligible_targets(&self, name: &str) -> Vec<String> {
        let targets: Vec<TargetStatus> = self.get(name, "/operator/v1/targets").unwrap_or_default();
        let eligible = targets.into_iter().filter(|target| target.in_choice);
        eligible.map(|target| target.name.to_string()).collect()
    }

    /// Sends one completion request and returns its final answer.
    pub fn complete(&self, name: &str) -> Option<FinalAnswer> {
        let body = r#"{"model":"drill","prompt":"which extinguisher","max_tokens":4,"workspace":"classrooms"}"#;
        let url = format!("{}/v1/completions", self.url(name));
        let (_, body) = self.call(Request::post(url).body(full(body)).ok()?)?;
        let reply = serde_json::from_slice::<CompletionReply>(&body).map(|reply| reply.answer);
        reply.or_else(|_| serde_json::from_slice(&body)).ok()
    }

    /// Number of sessions that an engine has opened up to now.
    pub fn opened_sessions(&self, engine: &str) -> usize {
        let text = std::fs::read_to_string(self.path(&format!("{engine}.journal")));
        let text = text.unwrap_or_default();
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str::<JournalLine>(line).ok());
        lines
            .filter(|line| matches!(&line.event, JournalEvent::Step(step) if step.first.0 == 0))
            .count()
    }
}

/// Waits for a load to end; returns the number of its requests, and the outcomes other than a
/// complete answer.
pub fn read_load(load: Child) -> (u64, Vec<String>) {
    let output = load.wait_with_output().expect("load");
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("report");
    let outcomes = report["all"]["outcomes"].as_array().expect("outcomes");
    let incomplete = outcomes
        .iter()
        .filter(|outcome| outcome["cause"] != "complete");
    let requests = report["all"]["requests"].as_u64().expect("requests");
    (requests, incomplete.map(ToString::to_string).collect())
}
