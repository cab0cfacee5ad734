//! Starts, signals and stops the processes of one test.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;

use mgw_serve::http::{HttpClient, unpooled_client};
use mgw_testkit::{build_programs, unique_loopback_ip};
use tempfile::TempDir;

const WORKSPACE_ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// IP address in the settings files of the local example.
const EXAMPLE_IP: &str = "127.0.0.1";
/// Base of the ports in those files; role and number of a process are added.
const FIRST_PORT: u16 = 17_000;
const OPERATOR_KEY: &str = "example-key-anika-not-for-production";
const OPERATOR_KEY_FILE: &str = "operator.key";

/// Which processes a test starts.
#[derive(Debug, Clone)]
pub struct SystemPlan {
    /// Number of entries; they are named from `entry-1` on.
    pub entries: usize,
    /// Names of the stand-ins.
    pub targets: &'static [&'static str],
    /// Time in ms that a stand-in takes for a call to a plain service.
    pub call_ms: u64,
}

/// Running processes: three controls, entries and stand-ins; killed when dropped.
pub struct System {
    pub folder: TempDir,
    pub http: HttpClient,
    ip: Ipv4Addr,
    children: Mutex<BTreeMap<String, Child>>,
}

impl System {
    /// Starts all processes, applies the first configuration and waits until the entries serve it.
    pub async fn start(plan: SystemPlan) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let ip = unique_loopback_ip();
        write_settings(folder.path(), ip, plan.call_ms);
        make_keys(folder.path());
        // Written only once, since programs that run in parallel read it.
        std::fs::write(folder.path().join(OPERATOR_KEY_FILE), OPERATOR_KEY).unwrap();
        let system = Self {
            folder,
            http: unpooled_client(),
            ip,
            children: Mutex::default(),
        };
        system.spawn_with("control-1", &["--found"]);
        system.spawn("control-2");
        system.spawn("control-3");
        (1..=plan.entries).for_each(|number| system.spawn(&format!("entry-{number}")));
        plan.targets.iter().for_each(|name| system.spawn(name));
        system.wait_for_voters(3).await;
        system
            .apply_until_answered(0, "first", &system.inventory())
            .await;
        for number in 1..=plan.entries {
            system
                .wait_until_serving(&format!("entry-{number}"), plan.targets.len())
                .await;
            if plan.targets.iter().any(|name| name.ends_with("-train-app")) {
                system
                    .wait_until_forwarding(&format!("entry-{number}"))
                    .await;
            }
        }
        system
    }

    /// The first configuration.
    pub fn inventory(&self) -> String {
        std::fs::read_to_string(format!("{WORKSPACE_ROOT}/examples/inventory.toml")).unwrap()
    }

    /// Starts a process by the name of its settings file.
    pub fn spawn(&self, name: &str) {
        self.spawn_with(name, &[]);
    }

    fn spawn_with(&self, name: &str, arguments: &[&str]) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("{name}.log")))
            .unwrap();
        let child = Command::new(program_path(name))
            .arg("--config")
            .arg(format!("{name}.toml"))
            .args(arguments)
            .current_dir(self.folder.path())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.children.lock().unwrap().insert(name.to_owned(), child);
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&self, name: &str) {
        let mut child = self.children.lock().unwrap().remove(name).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends a signal to a process that was started here.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.children.lock().unwrap()[name].id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.unwrap().success());
    }

    /// Exit status of a process; none while it runs.
    pub fn exit_status(&self, name: &str) -> Option<ExitStatus> {
        let mut children = self.children.lock().unwrap();
        children.get_mut(name).unwrap().try_wait().unwrap()
    }

    /// Base URL of a control or an entry.
    pub fn url(&self, name: &str) -> String {
        let (role, number) = name.split_once('-').unwrap();
        let first = if role == "control" { 100 } else { 200 };
        let number: u16 = number.parse().unwrap();
        format!("http://{}:{}", self.ip, FIRST_PORT + first + number)
    }

    /// Command for the operators' program `mgw`; the caller adds its arguments.
    pub fn mgw(&self, at: &[&str]) -> Command {
        let urls: Vec<_> = at.iter().map(|name| self.url(name)).collect();
        let key = self.path(OPERATOR_KEY_FILE);
        let mut command = Command::new(program_path("mgw"));
        command
            .args(["--at", &urls.join(","), "--operator", "anika", "--key-file"])
            .arg(key);
        command
    }

    /// Path of a file in the test's folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }
}

impl Drop for System {
    fn drop(&mut self) {
        let children = self.children.get_mut().unwrap();
        for child in children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::thread::panicking() {
            // The folder of a failed test is kept, for its logs.
            let kept_folder =
                std::mem::replace(&mut self.folder, tempfile::tempdir().unwrap()).keep();
            eprintln!("logs are in {}", kept_folder.display());
        }
    }
}

/// Copies the settings files of the local example, with the IP address of this test.
fn write_settings(folder: &Path, ip: Ipv4Addr, call_ms: u64) {
    for file in std::fs::read_dir(format!("{WORKSPACE_ROOT}/examples/local")).unwrap() {
        let path = file.unwrap().path();
        let name = path.file_name().unwrap().to_owned();
        let mut text = std::fs::read_to_string(&path).unwrap();
        text = text.replace(EXAMPLE_IP, &ip.to_string());
        if text.contains("[plain]") {
            text.push_str(&format!("call_ms = {call_ms}\n"));
        }
        std::fs::write(folder.join(name), text).unwrap();
    }
}

/// Creates the certificates with which the processes of the group authenticate one another.
fn make_keys(folder: &Path) {
    let controls = (1..=3).map(|number| format!("control-{number}"));
    let entries = (1..=6).map(|number| format!("entry-{number}"));
    let mut command = Command::new(program_path("mgw"));
    command.arg("group-keys").arg(folder.join("keys"));
    command.args(controls.chain(entries)).stdout(Stdio::null());
    assert!(command.status().unwrap().success());
}

/// Path of the program that a process runs.
fn program_path(name: &str) -> PathBuf {
    let program = match name.split_once('-') {
        None => "mgw",
        Some(("control", _)) => "mgw-control",
        Some(("entry", _)) => "mgw-entry",
        Some(_) => "mgw-standin",
    };
    build_programs(Path::new(env!("CARGO_BIN_EXE_mgw-control"))).join(program)
}
