//! Starts the programs of the deploy file as separate processes on loopback addresses, and plays the
//! operator towards them. Standard library only.

#![allow(dead_code)]

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Port of the metrics page, as the deploy file sets it.
const METRICS_PORT: u16 = 9464;

/// The file that tells what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            file,
            start: Instant::now(),
        })
    }

    pub fn write(&self, text: impl AsRef<str>) {
        let line = format!(
            "{:9.3} s  {}\n",
            self.start.elapsed().as_secs_f64(),
            text.as_ref()
        );
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Entry,
    Control,
}

/// One machine with one process.
pub struct Machine {
    pub name: String,
    pub role: Role,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    folder: PathBuf,
    child: Option<Child>,
    first_start: bool,
}

/// All machines of the run. Processes that still run are killed on drop.
pub struct System {
    pub machines: Vec<Machine>,
    pub record: Record,
    root: PathBuf,
    network: (u8, u8),
    port: u16,
    next_host: u8,
}

impl Drop for System {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.root);
    }
}

/// A number that differs from run to run.
pub fn random() -> u64 {
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos() as u64;
    let mixed = (nanos ^ (u64::from(std::process::id()) << 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

impl System {
    /// Chooses a free loopback network and ports, and a temporary folder.
    pub fn new(record: Record) -> io::Result<Self> {
        for attempt in 0..50 {
            let number = random().wrapping_add(attempt * 7919);
            let network = (16 + (number % 200) as u8, 1 + (number / 200 % 250) as u8);
            let port = 20_000 + (number / 50_000 % 9_000) as u16;
            let is_free = [port, METRICS_PORT].iter().all(|port| {
                TcpListener::bind((Ipv4Addr::new(127, network.0, network.1, 11), *port)).is_ok()
            });
            if is_free {
                let root = std::env::temp_dir().join(format!("mgw-review-{number:x}"));
                fs::create_dir_all(&root)?;
                return Ok(Self {
                    machines: Vec::new(),
                    record,
                    root,
                    network,
                    port,
                    next_host: 11,
                });
            }
        }
        Err(io::Error::other("no free loopback network"))
    }

    /// A loopback address that no machine has yet.
    pub fn new_ip(&mut self) -> Ipv4Addr {
        self.next_host += 1;
        Ipv4Addr::new(127, self.network.0, self.network.1, self.next_host)
    }

    /// Port at which controls serve workers and the operator.
    pub const fn control_port(&self) -> u16 {
        self.port
    }

    pub const fn directory_port(&self) -> u16 {
        self.port + 1
    }

    pub const fn front_port(&self) -> u16 {
        self.port + 2
    }

    pub const fn ready_port(&self) -> u16 {
        self.port + 3
    }

    /// Port that workers may use.
    pub const fn worker_port(&self) -> u16 {
        self.port + 4
    }

    /// Adds a machine that has not started yet.
    pub fn add(&mut self, role: Role, zone: &'static str, first_start: bool) -> usize {
        let ip = self.new_ip();
        let name = match role {
            Role::Entry => format!("front-{}", ip.octets()[3]),
            Role::Control => format!("core-{}", ip.octets()[3]),
        };
        let folder = self.root.join(&name);
        self.machines.push(Machine {
            name,
            role,
            ip,
            zone,
            folder,
            child: None,
            first_start,
        });
        self.machines.len() - 1
    }

    /// Control addresses of the machines that run, as the operator's list holds them.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let running = self
            .machines
            .iter()
            .filter(|it| it.role == Role::Control && it.child.is_some());
        running
            .map(|it| SocketAddr::from((it.ip, self.port)))
            .collect()
    }

    pub fn entries(&self) -> Vec<SocketAddr> {
        let running = self
            .machines
            .iter()
            .filter(|it| it.role == Role::Entry && it.child.is_some());
        running
            .map(|it| SocketAddr::from((it.ip, self.front_port())))
            .collect()
    }

    /// Starts the process of a machine with the command of the deploy file, in the current folder,
    /// which is the root of the repository.
    pub fn start(&mut self, at: usize, seeds: &[SocketAddr]) -> io::Result<()> {
        let port = self.port;
        let machine = &mut self.machines[at];
        fs::create_dir_all(machine.folder.join("data"))?;
        let node_file = machine.folder.join("boot.toml");
        fs::write(&node_file, settings(machine, port, seeds))?;
        machine.first_start = false;
        let program = match machine.role {
            Role::Entry => "target/release/mgw-platform-entry",
            Role::Control => "target/release/mgw-platform-control",
        };
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(machine.folder.join("log"))?;
        let child = Command::new(program)
            .args(["--metrics-port", &METRICS_PORT.to_string()])
            .env("MASTICGW_NODE_FILE", &node_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.write(format!(
            "platform: starts {} ({})",
            machine.name, machine.ip
        ));
        machine.child = Some(child);
        Ok(())
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, at: usize) -> io::Result<()> {
        let machine = &mut self.machines[at];
        if let Some(mut child) = machine.child.take() {
            child.kill()?;
            child.wait()?;
        }
        self.record
            .write(format!("platform: {} is down", machine.name));
        Ok(())
    }

    /// Asks the process of a machine to end by SIGTERM, and kills it after `grace_ms`.
    pub fn terminate(&mut self, at: usize, grace_ms: u64) -> io::Result<()> {
        let machine = &mut self.machines[at];
        let Some(mut child) = machine.child.take() else {
            return Ok(());
        };
        self.record
            .write(format!("platform: SIGTERM to {}", machine.name));
        // The shell's own command, as the standard library sends no SIGTERM.
        let command = format!("kill -TERM {}", child.id());
        Command::new("sh").args(["-c", &command]).status()?;
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(grace_ms) {
            if let Some(status) = child.try_wait()? {
                self.record
                    .write(format!("platform: {} ended ({status})", machine.name));
                return Ok(());
            }
            sleep_ms(20);
        }
        child.kill()?;
        child.wait()?;
        self.record.write(format!(
            "platform: {} was killed after the grace period",
            machine.name
        ));
        Ok(())
    }

    pub fn pid(&self, at: usize) -> Option<u32> {
        self.machines[at].child.as_ref().map(Child::id)
    }

    /// The control whose metrics page says that it leads.
    pub fn leader(&self) -> Option<usize> {
        (0..self.machines.len()).find(|at| {
            let machine = &self.machines[*at];
            if machine.role != Role::Control || machine.child.is_none() {
                return false;
            }
            let page = call(
                (machine.ip, METRICS_PORT).into(),
                "GET",
                "/metrics",
                "",
                1_000,
            );
            let text = page
                .map(|it| String::from_utf8_lossy(&it.1).into_owned())
                .unwrap_or_default();
            text.lines()
                .any(|line| line.starts_with("mgw_control_leads ") && line.ends_with(" 1"))
        })
    }

    /// Names of the machines whose process has ended by itself.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("{} ({status})", machine.name));
            }
        }
        ended
    }

    /// Lines of a machine's log that hold a text.
    pub fn log_lines(&self, at: usize, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.machines[at].folder.join("log")).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(ToOwned::to_owned)
            .collect()
    }

    /// Sends a configuration unchanged to one control after the other until one acknowledges it.
    pub fn put(&self, version: u64, body: &str, limit_ms: u64) -> bool {
        let start = Instant::now();
        let mut at = version as usize;
        while start.elapsed() < Duration::from_millis(limit_ms) {
            let controls = self.controls();
            let control = controls[at % controls.len()];
            at += 1;
            let answer = call(
                control,
                "POST",
                "/masticgw/Configuration.Replace",
                body,
                1_500,
            );
            let status = answer.as_ref().map(|it| it.0);
            self.record.write(format!(
                "operator: sends version {version} to {}: {}",
                control.ip(),
                show(status)
            ));
            if status == Some(200) {
                return true;
            }
            sleep_ms(300);
        }
        false
    }

    /// Reads the configuration at one control after the other until one answers; its version.
    pub fn read_back(&self, limit_ms: u64) -> Option<u64> {
        let start = Instant::now();
        let mut at = 0;
        while start.elapsed() < Duration::from_millis(limit_ms) {
            let controls = self.controls();
            let control = controls[at % controls.len()];
            at += 1;
            let answer = call(control, "GET", "/masticgw/Configuration.Read", "", 1_500);
            let version = answer
                .as_ref()
                .filter(|it| it.0 == 200)
                .and_then(|it| version_of(&it.1));
            let status = show(answer.map(|it| it.0));
            self.record.write(format!(
                "operator: reads at {}: {status}, version {version:?}",
                control.ip()
            ));
            if version.is_some() {
                return version;
            }
            sleep_ms(200);
        }
        None
    }
}

fn show(status: Option<u16>) -> String {
    status.map_or_else(|| "no answer".to_owned(), |status| status.to_string())
}

fn version_of(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let (_, rest) = text.split_once("\"version\":")?;
    let digits: String = rest
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

/// A whole answer: status, body, and the head as text.
pub type Answer = (u16, Vec<u8>, String);

/// Sends one request on a connection of its own; none without a whole answer in time.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str, limit_ms: u64) -> Option<Answer> {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(to, request.as_bytes(), limit_ms)
}

/// Sends bytes and reads an answer with a length.
pub fn exchange(to: SocketAddr, request: &[u8], limit_ms: u64) -> Option<Answer> {
    let limit = Duration::from_millis(limit_ms);
    let start = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1))).ok()?;
    stream.write_all(request).ok()?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 65_536];
    loop {
        if let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let length: usize = header(&head, "content-length")?.parse().ok()?;
            if bytes.len() >= end + 4 + length {
                return Some((status, bytes[end + 4..end + 4 + length].to_vec(), head));
            }
        }
        let left = limit.checked_sub(start.elapsed())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        let count = stream.read(&mut buffer).ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

/// The value of a header field in a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// The settings file of a process, with the figures of the small deployments.
fn settings(machine: &Machine, port: u16, seeds: &[SocketAddr]) -> String {
    let seeds: Vec<String> = seeds
        .iter()
        .take(3)
        .map(|seed| format!("\"{seed}\""))
        .collect();
    let seeds = seeds.join(",");
    let (ip, zone, name) = (machine.ip, machine.zone, &machine.name);
    let data = machine.folder.join("data");
    let (class, serves, listen, disk) = match machine.role {
        Role::Entry => (
            "front",
            "\"front\"",
            format!(
                "front = \"{ip}:{}\"\nready = \"{ip}:{}\"",
                port + 2,
                port + 3
            ),
            String::new(),
        ),
        Role::Control => (
            "core",
            "\"control\",\"directory\"",
            format!(
                "control = \"{ip}:{port}\"\ndirectory = \"{ip}:{}\"",
                port + 1
            ),
            format!("dataDirectory = \"{}\"\n", data.display()),
        ),
    };
    let counts = machine.role == Role::Control;
    let (first, last) = (port + 10, port + 25);
    let first_start = machine.first_start;
    format!(
        "nodeName = \"{name}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\nserves = [{serves}]\n\
         ipAddress = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region\"\ninternalPortRange = [{first},{last}]\n\
         seeds = [{seeds}]\nfirstStart = {first_start}\ncountsAsLoss = {counts}\n{disk}\
         discovery = \"registration\"\nentry = \"directory\"\nheartbeatMs = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"layers\"]\n\
         configurationMode = \"highest\"\n[zones]\na = \"region\"\nb = \"region\"\nc = \"region\"\n[listen]\n{listen}\n\
         [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nfileDescriptors = 4200\nlinkMbps = 1000.0\ndiskMb = 128\n\
         [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\n\
         stabilityWindowMs = 3000\nackTimeoutMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngracePeriodS = 8\n\
         lossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nouterBoundMs = 5000\n\
         strictRevocation = false\nrevocationMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n\
         budgetSlack = 196\nrecoveryS = 12\npassMs = 120\nretryAfterS = 0\nstall_ms = 2500\n\
         fencingEnforced = false\nttl_max_s = 5\n"
    )
}

/// A configuration with one plain service and a route of each kind of call.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"app.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"app\",\
             \"maxAttempts\":{attempts},\"public\":false,\"stickySessions\":false,\"resumable\":false,\"targetGapMs\":0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"app\",\"healthCheckPath\":\"/health\",\
         \"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"tenant\",\"apiKeys\":[\"key\"],\"priority\":1}}]}}",
        route("r-once", "/once/", "unsafe", 1),
        route("r-read", "/read/", "safe", 2)
    )
}
