//! No case of its own, see REPORT.md: workers send bytes that are no response of theirs in place of some answers. Simulates the
//! workers of a plain service, callers and the operator.

#[path = "system.rs"]
mod system;

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use system::{Record, Role, System, call, configuration, exchange, header, random, sleep_ms};

const WORKERS: usize = 3;
/// One answer in so many is spoilt, at two of the three workers: a share of 0.05.
const SPOILT_EVERY: u64 = 20;
/// What a worker in trouble sends in place of an answer.
const SPOILT: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 22\r\n\r\n<html>It works!</html>";
const REQUESTS: u64 = 600;

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

struct Worker {
    id: String,
    address: SocketAddr,
    born: u64,
    heartbeats: AtomicU64,
    calls: AtomicU64,
    is_spoiling: bool,
    record: Record,
    spoilt: Arc<AtomicU64>,
}

impl Worker {
    fn beat(&self, controls: &[SocketAddr]) {
        let sequence = self.heartbeats.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"app\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.address, self.born
        );
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
        let attempt = header(head, "masticgw-attempt-id").unwrap_or_default();
        let number = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        sleep_ms(5);
        if self.is_spoiling && number % SPOILT_EVERY == 0 {
            self.spoilt.fetch_add(1, Ordering::Relaxed);
            self.record.write(format!(
                "worker {}: runs {attempt}, sends bytes that are no response",
                self.id
            ));
            return stream.write_all(SPOILT);
        }
        let body = format!("result of {attempt}");
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nMasticgw-Attempt-Id: {attempt}\r\nMasticgw-Response-Seal: seal-{}-{attempt}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }
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
    let spoilt = Arc::new(AtomicU64::new(0));
    for number in 0..WORKERS {
        let worker = Arc::new(Worker {
            id: format!("i-{number}"),
            address: (system.new_ip(), system.worker_port()).into(),
            born: unix_ms(),
            heartbeats: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            is_spoiling: has_trouble && number < 2,
            record: record.clone(),
            spoilt: Arc::clone(&spoilt),
        });
        start_worker(&worker, system.controls())?;
    }
    sleep_ms(5_000);
    let entries = system.entries();
    let unsigned = Mutex::new(Vec::new());
    let successes = AtomicU64::new(0);
    thread::scope(|scope| {
        for caller in 0..4 {
            let (entries, record, unsigned, successes) = (&entries, &record, &unsigned, &successes);
            scope.spawn(move || {
                for number in 0..REQUESTS / 4 {
                    let attempt = format!("{caller}-{number}");
                    let entry = entries[(number as usize + caller) % entries.len()];
                    let answer = send(entry, &attempt, number % 2 == 0);
                    let Some((status, body, head)) = answer else {
                        record.write(format!("caller: {attempt}: no answer"));
                        continue;
                    };
                    let seal = header(&head, "masticgw-response-seal");
                    record.write(format!("caller: {attempt}: {status}, seal {seal:?}"));
                    if status == 200 {
                        successes.fetch_add(1, Ordering::Relaxed);
                        let expected = format!("result of {attempt}");
                        if seal.is_none() || body != expected.as_bytes() {
                            let text = String::from_utf8_lossy(&body).trim().to_owned();
                            unsigned
                                .lock()
                                .unwrap()
                                .push(format!("{attempt} got {text:?}"));
                        }
                    }
                    sleep_ms(10);
                }
            });
        }
    });
    let unsigned = unsigned.into_inner().unwrap();
    let spoilt = spoilt.load(Ordering::Relaxed);
    let total = successes.load(Ordering::Relaxed);
    if total < REQUESTS / 2 {
        return Err(io::Error::other(format!(
            "only {total} of {REQUESTS} requests succeeded"
        )));
    }
    let word = if unsigned.is_empty() {
        "held"
    } else {
        "broken"
    };
    record.write(format!(
        "MIXED {word}: {} of {total} successes have no seal of a worker; {spoilt} answers were spoilt; first {:?}",
        unsigned.len(),
        unsigned.first()
    ));
    Ok(unsigned.is_empty())
}

fn start_worker(worker: &Arc<Worker>, controls: Vec<SocketAddr>) -> io::Result<()> {
    let listener = TcpListener::bind(worker.address)?;
    let serving = Arc::clone(worker);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let worker = Arc::clone(&serving);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || worker.answer_all(stream));
        }
    });
    let worker = Arc::clone(worker);
    thread::spawn(move || {
        loop {
            worker.beat(&controls);
            thread::sleep(Duration::from_millis(1_000));
        }
    });
    Ok(())
}

fn send(entry: SocketAddr, attempt: &str, is_once: bool) -> Option<system::Answer> {
    let (method, path) = if is_once {
        ("POST", "/once/charge")
    } else {
        ("GET", "/read/asset")
    };
    let length = if is_once { "Content-Length: 2\r\n" } else { "" };
    let body = if is_once { "hi" } else { "" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: app.example\r\nMasticgw-Attempt-Id: {attempt}\r\n\
         Masticgw-Deadline-Ms: 1500\r\nAuthorization: Bearer key\r\n{length}\r\n{body}"
    );
    exchange(entry, request.as_bytes(), 2_500)
}
