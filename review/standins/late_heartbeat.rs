//! Case 3: a worker leaves, the control that acknowledged it restarts, and a heartbeat that the worker sent
//! before arrives late there. Simulates the workers of a plain service, callers and the operator.

#[path = "system.rs"]
mod system;

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use system::{Record, Role, System, call, configuration, exchange, header, random, sleep_ms};

const WORKERS: usize = 3;
/// `drainMs` of the settings.
const DRAIN_MS: u64 = 2_000;
/// `stabilityWindowMs` of the settings.
const STABILITY_MS: u64 = 3_000;
/// Time from the acknowledgement to the kill of the control that gave it.
const KILL_MS: u64 = 300;
/// Time after which a killed process is started again.
const RESTART_MS: u64 = 300;
/// Time from the acknowledgement to the arrival of the late heartbeat.
const LATE_MS: u64 = 3_500;
/// Time from the acknowledgement to the exit of the worker.
const EXIT_MS: u64 = 7_000;
/// Time that a call takes.
const WORK_MS: u64 = 150;

struct Arrival {
    at: Instant,
    sent_at: Instant,
    attempt: String,
}

struct Worker {
    id: String,
    address: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    /// Whether it sends no more heartbeats, as it has said that it leaves.
    is_silent: AtomicBool,
    has_ended: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<HashMap<u64, TcpStream>>,
    /// When callers have sent each request.
    sent: Arc<Mutex<HashMap<String, Instant>>>,
    record: Record,
}

impl Worker {
    fn heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"app\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.address, self.born
        )
    }

    fn beat(&self, controls: &[SocketAddr]) {
        let body = self.heartbeat();
        let path = format!("/masticgw/Instances.Heartbeat/{}", self.id);
        let first = random() as usize;
        for at in 0..controls.len() {
            let control = controls[(first + at) % controls.len()];
            if call(control, "POST", &path, &body, 1_000).is_some_and(|answer| answer.0 == 200) {
                return;
            }
        }
    }

    fn answer_all(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut bytes = Vec::new();
        let mut buffer = [0; 16_384];
        loop {
            let count = stream.read(&mut buffer)?;
            if count == 0 {
                return Ok(());
            }
            bytes.extend_from_slice(&buffer[..count]);
            while let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
                let length: usize = header(&head, "content-length")
                    .and_then(|it| it.parse().ok())
                    .unwrap_or(0);
                if bytes.len() < end + 4 + length {
                    break;
                }
                bytes.drain(..end + 4 + length);
                self.answer(&mut stream, &head)?;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, head: &str) -> io::Result<()> {
        if header(head, "masticgw-expect-instance").is_some_and(|it| it != self.id) {
            return stream.write_all(
                b"HTTP/1.1 421 Misdirected Request\r\nMasticgw-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            );
        }
        let attempt = header(head, "masticgw-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let at = Instant::now();
        let sent_at = self
            .sent
            .lock()
            .unwrap()
            .get(&attempt)
            .copied()
            .unwrap_or(at);
        self.record
            .write(format!("worker {}: runs {attempt}", self.id));
        self.arrivals.lock().unwrap().push(Arrival {
            at,
            sent_at,
            attempt: attempt.clone(),
        });
        sleep_ms(WORK_MS);
        let body = format!("result of {attempt}");
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nMasticgw-Attempt-Id: {attempt}\r\nMasticgw-Response-Seal: seal-{}-{attempt}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }

    /// The process ends: it accepts nothing more and all its connections break.
    fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        for stream in self.connections.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.write(format!("worker {}: exits", self.id));
    }
}

fn start_worker(worker: &Arc<Worker>, controls: Vec<SocketAddr>) -> io::Result<()> {
    let listener = TcpListener::bind(worker.address)?;
    listener.set_nonblocking(true)?;
    let serving = Arc::clone(worker);
    thread::spawn(move || {
        let mut number = 0;
        while !serving.has_ended.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                sleep_ms(1);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let Ok(copy) = stream.try_clone() else {
                continue;
            };
            number += 1;
            let key = number;
            serving.connections.lock().unwrap().insert(key, copy);
            let worker = Arc::clone(&serving);
            thread::spawn(move || {
                let _ = worker.answer_all(stream);
                worker.connections.lock().unwrap().remove(&key);
            });
        }
    });
    let worker = Arc::clone(worker);
    thread::spawn(move || {
        while !worker.is_silent.load(Ordering::Relaxed) {
            worker.beat(&controls);
            sleep_ms(1_200);
        }
    });
    Ok(())
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let record = Record::create(Path::new(&arguments[1])).expect("record");
    let code = match run(record.clone(), arguments[2] != "0") {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.write(format!("the case couldn't run: {error}"));
            2
        }
    };
    exit(code);
}

fn run(record: Record, has_trouble: bool) -> io::Result<bool> {
    let mut system = System::new(record.clone())?;
    let controls: Vec<usize> = (0..3)
        .map(|_| system.add(Role::Control, "a", true))
        .collect();
    let entries: Vec<usize> = (0..2).map(|_| system.add(Role::Entry, "a", true)).collect();
    let port = system.control_port();
    let seeds: Vec<_> = controls
        .iter()
        .map(|at| (system.machines[*at].ip, port).into())
        .collect();
    for at in controls.iter().chain(&entries) {
        system.start(*at, &seeds)?;
    }
    if !system.put(1, &configuration(1), 10_000) {
        return Err(io::Error::other("the configuration isn't acknowledged"));
    }
    let sent = Arc::new(Mutex::new(HashMap::new()));
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let worker = Arc::new(Worker {
            id: format!("i-{number}"),
            address: (system.new_ip(), system.worker_port()).into(),
            born,
            sequence: AtomicU64::new(0),
            is_silent: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            arrivals: Mutex::default(),
            connections: Mutex::default(),
            sent: Arc::clone(&sent),
            record: record.clone(),
        });
        start_worker(&worker, system.controls())?;
        workers.push(worker);
    }
    sleep_ms(8_000);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..8)
        .map(|caller| spawn_caller(caller, system.entries(), &sent, &record, &stop))
        .collect();
    sleep_ms(4_000);

    let leaving = &workers[0];
    leaving.is_silent.store(true, Ordering::Relaxed);
    sleep_ms(1_500);
    // The last heartbeat of the worker, held up on its way.
    let late = leaving.heartbeat();
    let control = seeds[0];
    let path = format!("/masticgw/Instances.Leave/{}", leaving.id);
    let answer = call(control, "POST", &path, "", 1_000);
    let acknowledged_at = Instant::now();
    record.write(format!(
        "worker {}: leave at {}: {:?}",
        leaving.id,
        control.ip(),
        answer.as_ref().map(|it| it.0)
    ));
    if answer.is_none_or(|it| it.0 != 200) {
        return Err(io::Error::other("the leave isn't acknowledged"));
    }
    let wait_until = |ms: u64| {
        thread::sleep(Duration::from_millis(ms).saturating_sub(acknowledged_at.elapsed()));
    };
    wait_until(KILL_MS);
    if has_trouble {
        system.kill(controls[0])?;
    }
    wait_until(KILL_MS + RESTART_MS);
    if has_trouble {
        system.start(controls[0], &seeds)?;
    }
    let calm_from = Instant::now();
    wait_until(LATE_MS);
    let path = format!("/masticgw/Instances.Heartbeat/{}", leaving.id);
    let answer = call(control, "POST", &path, &late, 1_000).map(|it| it.0);
    record.write(format!(
        "worker {}: a late heartbeat arrives at {}: {answer:?}",
        leaving.id,
        control.ip()
    ));
    wait_until(EXIT_MS);
    leaving.end();
    sleep_ms(3_000);
    stop.store(true, Ordering::Relaxed);
    let lost: Vec<String> = callers
        .into_iter()
        .flat_map(|it| it.join().unwrap_or_default())
        .collect();
    Ok(judge(leaving, acknowledged_at, calm_from, &lost, &record))
}

/// Sends calls one after the other, half of them such as may run once. Returns those that ended with a failure
/// that promises nothing.
fn spawn_caller(
    caller: usize,
    entries: Vec<SocketAddr>,
    sent: &Arc<Mutex<HashMap<String, Instant>>>,
    record: &Record,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<String>> {
    let (sent, record, stop) = (Arc::clone(sent), record.clone(), Arc::clone(stop));
    thread::spawn(move || {
        let mut lost = Vec::new();
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let attempt = format!("{caller}-{number}");
            let is_once = number % 2 == 0;
            let (method, path, fields, body) = if is_once {
                ("POST", "/once/charge", "Content-Length: 2\r\n", "hi")
            } else {
                ("GET", "/read/asset", "", "")
            };
            let request = format!(
                "{method} {path} HTTP/1.1\r\nHost: app.example\r\nMasticgw-Attempt-Id: {attempt}\r\n\
                 Masticgw-Deadline-Ms: 1500\r\nAuthorization: Bearer key\r\n{fields}\r\n{body}"
            );
            let entry = entries[(caller + number) % entries.len()];
            sent.lock().unwrap().insert(attempt.clone(), Instant::now());
            let status = exchange(entry, request.as_bytes(), 2_500).map(|it| it.0);
            record.write(format!(
                "caller: {method} {attempt} at {}: {status:?}",
                entry.ip()
            ));
            if !matches!(status, Some(200 | 503)) {
                lost.push(format!("{method} {attempt}: {status:?}"));
            }
            sleep_ms(20);
        }
        lost
    })
}

/// The rule as written: requests that callers sent later than `drainMs` after the acknowledgement and that
/// reached the worker, while the entries were in touch: `stabilityWindowMs` after the start of the control.
fn judge(
    worker: &Worker,
    acknowledged_at: Instant,
    calm_from: Instant,
    lost: &[String],
    record: &Record,
) -> bool {
    let drained_at = acknowledged_at + Duration::from_millis(DRAIN_MS);
    let in_touch_at = calm_from + Duration::from_millis(STABILITY_MS + 100);
    let from = drained_at.max(in_touch_at);
    let arrivals = worker.arrivals.lock().unwrap();
    let late: Vec<&Arrival> = arrivals
        .iter()
        .filter(|it| it.sent_at > from && it.at > from)
        .collect();
    record.write(format!(
        "calls that ended with a failure that promises nothing: {lost:?}"
    ));
    let word = if late.is_empty() { "held" } else { "broken" };
    let first = late.first().map(|it| {
        let ms = (it.at - acknowledged_at).as_millis();
        format!("{} {ms} ms after the acknowledgement", it.attempt)
    });
    record.write(format!(
        "DRAIN {word}: {} requests reached worker {} later than {DRAIN_MS} ms after its leave was acknowledged, \
         by machines in touch; first {first:?}",
        late.len(),
        worker.id
    ));
    late.is_empty()
}
