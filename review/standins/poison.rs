//! Case 5: a part of prompts crashes each worker that begins to write an answer on it. Simulates the
//! workers of a model, callers with sound and with harmful requests, and the operator.
//!
//! Arguments: the record, `0` for no trouble, the number of events that a worker has written when it crashes,
//! the number of callers with sound requests, the pause of a caller between two requests in milliseconds, and the
//! number of workers.

#[path = "system.rs"]
mod system;

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use system::{Record, Role, System, call, header, random, sleep_ms};

const LAYERS: u32 = 8;
/// Events of a whole answer.
const EVENTS: u64 = 20;
/// Time between two events of a stream.
const EVENT_MS: u64 = 25;
/// Time after which a crashed worker is back.
const BACK_MS: u64 = 3_000;
/// `stabilityWindowMs` of the settings.
const STABILITY_MS: u64 = 3_000;
/// Requests with the harmful part that may reach workers after that.
const ALLOWED: usize = 3;
/// Crash after which they count.
const KNOWN_CRASHES: usize = 5;
/// Time for which callers send requests.
const CALLERS_MS: u64 = 40_000;

/// What workers have seen.
#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    harmful_arrivals: Vec<Instant>,
}

struct Instance {
    number: u64,
    born: u64,
    heartbeats: u64,
    accepted_orders: u64,
    layers: Option<(u32, u32)>,
    is_up: bool,
    connections: HashMap<u64, TcpStream>,
}

struct Worker {
    number: usize,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    instance: Mutex<Instance>,
    seen: Arc<Mutex<Seen>>,
    record: Record,
    /// Events that are written before a crash; none if nothing crashes.
    crash_after: Option<u64>,
    next_connection: AtomicU64,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl Worker {
    fn id(&self, instance: &Instance) -> String {
        format!("i-{}-{}", self.number, instance.number)
    }

    /// Reports to one control after the other until one acknowledges.
    fn beat(&self) {
        let (path, body) = {
            let mut instance = self.instance.lock().unwrap();
            if !instance.is_up {
                return;
            }
            instance.heartbeats += 1;
            let (from, to) = instance.layers.unwrap_or((0, 0));
            let body = format!(
                "{{\"service\":\"model\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\
                 \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[],\"sequence\":{},\
                 \"born\":{},\"kind\":\"big\",\"layers\":{{\"from\":{from},\"to\":{to},\"version\":1}}}}",
                self.address, instance.heartbeats, instance.born
            );
            (
                format!("/masticgw/Instances.Heartbeat/{}", self.id(&instance)),
                body,
            )
        };
        let first = random() as usize;
        for at in 0..self.controls.len() {
            let control = self.controls[(first + at) % self.controls.len()];
            if call(control, "POST", &path, &body, 1_000).is_some_and(|answer| answer.0 == 200) {
                return;
            }
        }
    }

    fn serve(self: &Arc<Self>) {
        loop {
            let listener = match TcpListener::bind(self.address) {
                Ok(listener) => listener,
                Err(_) => {
                    sleep_ms(50);
                    continue;
                }
            };
            self.instance.lock().unwrap().is_up = true;
            listener.set_nonblocking(true).unwrap();
            while self.instance.lock().unwrap().is_up {
                match listener.accept() {
                    Ok((stream, _)) => self.take(stream),
                    Err(_) => sleep_ms(1),
                }
            }
            drop(listener);
            sleep_ms(BACK_MS);
            let mut instance = self.instance.lock().unwrap();
            instance.number += 1;
            instance.born = unix_ms();
            instance.heartbeats = 0;
            instance.accepted_orders = 0;
            instance.layers = None;
        }
    }

    fn take(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let number = self.next_connection.fetch_add(1, Ordering::Relaxed);
        let Ok(copy) = stream.try_clone() else { return };
        self.instance
            .lock()
            .unwrap()
            .connections
            .insert(number, copy);
        let worker = Arc::clone(self);
        thread::spawn(move || {
            let _ = worker.answer_all(stream);
            worker.instance.lock().unwrap().connections.remove(&number);
        });
    }

    /// The process ends: it accepts nothing more and all its connections break.
    fn crash(&self) {
        let mut instance = self.instance.lock().unwrap();
        if !instance.is_up {
            return;
        }
        instance.is_up = false;
        for stream in instance.connections.values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        instance.connections.clear();
        let id = self.id(&instance);
        drop(instance);
        self.seen.lock().unwrap().crashes.push(Instant::now());
        self.record.write(format!("worker {id}: crashes"));
    }

    fn answer_all(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut bytes = Vec::new();
        loop {
            let Some((head, _)) = read_request(&mut stream, &mut bytes)? else {
                return Ok(());
            };
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            match path.as_str() {
                "/masticgw/report" => {
                    let body = {
                        let instance = self.instance.lock().unwrap();
                        let (from, to) = instance.layers.unwrap_or((0, 0));
                        format!(
                            "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":{},\"waiting\":0,\"running\":0,\
                             \"kvCacheUsed\":0,\"kvCacheTotal\":100000,\"handles\":0,\"pace\":1.0,\"kind\":\"big\",\
                             \"layers\":{{\"from\":{from},\"to\":{to},\"version\":1}}}}",
                            instance.accepted_orders
                        )
                    };
                    write_answer(&mut stream, "200 OK", "", &body)?;
                }
                "/masticgw/order" => {
                    let body = head.rsplit("\r\n\r\n").next().unwrap_or_default();
                    let number = |name: &str| number_after(body, name);
                    let mut instance = self.instance.lock().unwrap();
                    let precondition = number("\"precondition\":");
                    if precondition.is_some_and(|it| it != instance.accepted_orders) {
                        drop(instance);
                        write_answer(&mut stream, "409 Conflict", "", "{}")?;
                        continue;
                    }
                    instance.accepted_orders += 1;
                    let layer = |name| number(name).unwrap_or(0) as u32;
                    instance.layers = Some((layer("\"from\":"), layer("\"to\":")));
                    drop(instance);
                    write_answer(&mut stream, "202 Accepted", "", "{}")?;
                    self.beat();
                }
                _ => self.answer_stream(&mut stream, &head)?,
            }
        }
    }

    fn answer_stream(&self, stream: &mut TcpStream, head: &str) -> io::Result<()> {
        let attempt = header(head, "masticgw-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let (id, holds) = {
            let instance = self.instance.lock().unwrap();
            (self.id(&instance), instance.layers == Some((0, LAYERS)))
        };
        let is_meant = header(head, "masticgw-expect-instance").is_none_or(|it| it == id);
        if !is_meant || !holds {
            let fields = format!(
                "Masticgw-Not-Executed: 1\r\nAt-Server: {}\r\n",
                self.address
            );
            return write_answer(stream, "421 Misdirected Request", &fields, "");
        }
        let prefix = header(head, "masticgw-prompt-prefix").unwrap_or_default();
        let is_harmful = prefix.split(',').any(|part| part.starts_with("bad0:"));
        if is_harmful {
            self.seen
                .lock()
                .unwrap()
                .harmful_arrivals
                .push(Instant::now());
            self.record
                .write(format!("worker {id}: runs {attempt} (harmful part)"));
        } else {
            self.record.write(format!("worker {id}: runs {attempt}"));
        }
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nMasticgw-Attempt-Id: {attempt}\r\nMasticgw-Response-Seal: seal-{id}\r\n\
             Masticgw-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        let last = header(head, "last-event-id")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        for number in last + 1..=EVENTS {
            sleep_ms(EVENT_MS);
            if is_harmful
                && self
                    .crash_after
                    .is_some_and(|events| number > last + events)
            {
                self.crash();
                return Err(io::Error::other("crashed"));
            }
            let event = format!("id: {number}\ndata: token {number}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Reads a request with its body; the head is followed by the body in the text.
fn read_request(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> io::Result<Option<(String, usize)>> {
    let mut buffer = [0; 16_384];
    loop {
        if let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length: usize = header(&head, "content-length")
                .and_then(|it| it.parse().ok())
                .unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let text = String::from_utf8_lossy(&bytes[..end + 4 + length]).into_owned();
                bytes.drain(..end + 4 + length);
                return Ok(Some((text, length)));
            }
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

fn write_answer(stream: &mut TcpStream, status: &str, fields: &str, body: &str) -> io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn number_after(text: &str, name: &str) -> Option<u64> {
    let (_, rest) = text.split_once(name)?;
    rest.chars()
        .take_while(char::is_ascii_digit)
        .collect::<String>()
        .parse()
        .ok()
}

/// Sends one request for a stream; whether its last event and its end arrived.
fn send_stream(entry: SocketAddr, attempt: &str, path: &str, prefix: &str) -> (String, bool) {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: app.example\r\nMasticgw-Attempt-Id: {attempt}\r\nMasticgw-Model: m\r\n\
         Masticgw-Token-Counts: 200,60\r\nMasticgw-Prompt-Prefix: {prefix}\r\nMasticgw-Deadline-Ms: 10000\r\n\
         Authorization: Bearer key\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    let mut bytes = Vec::new();
    let sent = TcpStream::connect_timeout(&entry, Duration::from_secs(1)).and_then(|mut stream| {
        stream.set_read_timeout(Some(Duration::from_secs(11)))?;
        stream.write_all(request.as_bytes())?;
        stream.read_to_end(&mut bytes)
    });
    let text = String::from_utf8_lossy(&bytes);
    let status = text.split(' ').nth(1).unwrap_or("none").to_owned();
    let is_whole =
        sent.is_ok() && text.contains(&format!("id: {EVENTS}\n")) && text.ends_with("0\r\n\r\n");
    (status, is_whole)
}

fn configuration() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"r-stream\",\"host\":\"app.example\",\"pathPrefix\":\"/draft/\",\
     \"kind\":\"streaming\",\"timeoutMs\":10000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"model\",\
     \"maxAttempts\":2,\"public\":false,\"stickySessions\":true,\"resumable\":true,\"targetGapMs\":200}],\
     \"services\":[{\"name\":\"model\",\"healthCheckPath\":\"/health\",\"maxConnections\":1128,\"protocol\":\"h1\",\
     \"tls\":false,\"engine\":{\"slots\":64,\"kvCacheTokens\":100000,\"kvTokenBytes\":8000,\"linkMbps\":400000.0,\
     \"stride\":3,\"models\":[{\"name\":\"m\",\"pace\":1.0,\"loadS\":0.4,\"warmS\":0.1}],\"step_ms\":1.0,\
     \"per_seq_ms\":0.01,\"context_per_k\":0.01,\"read_per_s\":100000.0,\"pairs_per_m\":0.3,\"chunk\":512,\
     \"report_lag_ms\":200.0,\"loadsPerS\":0.0,\"loads_at_once\":5,\"delays\":[],\
     \"usual\":{\"prompt\":200,\"answer\":60},\"layers\":8,\"layerMb\":1000.0,\"activationBytes\":1000,\
     \"pipeMbps\":10000.0,\"kinds\":[{\"name\":\"big\",\"sizeMb\":20000.0,\"pace\":1.0,\"readFactor\":1.0}]}}],\
     \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
     \"tenants\":[{\"name\":\"tenant\",\"apiKeys\":[\"key\"],\"priority\":1}]}"
        .to_owned()
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let record = Record::create(Path::new(&arguments[1])).expect("record");
    let number = |at: usize| arguments[at].parse().expect("a number");
    let load = Load {
        crash_after: (number(2) != 0).then(|| number(3)),
        callers: number(4),
        pause_ms: number(5),
        workers: number(6),
    };
    let code = match run(record.clone(), &load) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.write(format!("the case couldn't run: {error}"));
            2
        }
    };
    exit(code);
}

/// What callers send, and what happens to workers.
struct Load {
    crash_after: Option<u64>,
    callers: u64,
    pause_ms: u64,
    workers: u64,
}

fn run(record: Record, load: &Load) -> io::Result<bool> {
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
    if !system.put(1, &configuration(), 10_000) {
        return Err(io::Error::other("the configuration isn't acknowledged"));
    }
    let seen = Arc::new(Mutex::new(Seen::default()));
    start_workers(&mut system, &seen, &record, load);
    let entries = system.entries();
    wait_until_served(&entries, &record)?;
    let served = Arc::new(Mutex::new((0_u32, 0_u32)));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..load.callers as usize)
        .map(|number| spawn_caller(number, load.pause_ms, &entries, &record, &stop, &served))
        .chain([spawn_harmful_caller(&entries, &record, &stop)])
        .collect();
    sleep_ms(CALLERS_MS);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(io::Error::other(format!("processes ended: {ended:?}")));
    }
    Ok(judge(
        &seen.lock().unwrap(),
        *served.lock().unwrap(),
        &record,
    ))
}

fn start_workers(system: &mut System, seen: &Arc<Mutex<Seen>>, record: &Record, load: &Load) {
    for number in 0..load.workers as usize {
        let ip: Ipv4Addr = system.new_ip();
        let worker = Arc::new(Worker {
            number,
            address: (ip, system.worker_port()).into(),
            controls: system.controls(),
            instance: Mutex::new(Instance {
                number: 0,
                born: unix_ms(),
                heartbeats: 0,
                accepted_orders: 0,
                layers: None,
                is_up: false,
                connections: HashMap::new(),
            }),
            seen: Arc::clone(seen),
            record: record.clone(),
            crash_after: load.crash_after,
            next_connection: AtomicU64::new(0),
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                beating.beat();
                sleep_ms(1_000);
            }
        });
        thread::spawn(move || worker.serve());
    }
}

/// Waits until each entry has served ten streams in a row.
fn wait_until_served(entries: &[SocketAddr], record: &Record) -> io::Result<()> {
    let start = Instant::now();
    let mut in_row = 0;
    let mut number = 0;
    while in_row < 10 * entries.len() {
        if start.elapsed() > Duration::from_secs(25) {
            return Err(io::Error::other("streams aren't served"));
        }
        number += 1;
        let entry = entries[number % entries.len()];
        let prefix = format!("a1:100,b{}:50,c{number:x}:50", number % 4);
        let (_, is_whole) = send_stream(entry, &format!("start-{number}"), "/draft/start", &prefix);
        in_row = if is_whole { in_row + 1 } else { 0 };
    }
    record.write("all entries serve streams");
    Ok(())
}

/// Sends sound requests one after the other. They share the key and the first part with the harmful ones.
fn spawn_caller(
    caller: usize,
    pause_ms: u64,
    entries: &[SocketAddr],
    record: &Record,
    stop: &Arc<AtomicBool>,
    served: &Arc<Mutex<(u32, u32)>>,
) -> thread::JoinHandle<()> {
    let (entries, record) = (entries.to_vec(), record.clone());
    let (stop, served) = (Arc::clone(stop), Arc::clone(served));
    thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let entry = entries[(caller + number) % entries.len()];
            let attempt = format!("sound-{caller}-{number}");
            let prefix = format!("a1:100,b{}:50,c{caller:x}{number:04x}:50", number % 4);
            let path = format!("/draft/{caller}/{number}");
            let (status, is_whole) = send_stream(entry, &attempt, &path, &prefix);
            record.write(format!(
                "caller: {attempt} at {}: {status}, whole: {is_whole}",
                entry.ip()
            ));
            let mut served = served.lock().unwrap();
            served.1 += 1;
            served.0 += u32::from(is_whole);
            drop(served);
            sleep_ms(pause_ms);
        }
    })
}

/// Sends one request with the harmful part a second, no two alike, at any entry.
fn spawn_harmful_caller(
    entries: &[SocketAddr],
    record: &Record,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (entries, record, stop) = (entries.to_vec(), record.clone(), Arc::clone(stop));
    thread::spawn(move || {
        sleep_ms(3_000);
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let entry = entries[number % entries.len()];
            let record = record.clone();
            thread::spawn(move || {
                let attempt = format!("harmful-{number}");
                let prefix = format!("a1:100,bad0:50,d{number:04x}:50");
                let path = format!("/draft/h/{number}");
                let (status, is_whole) = send_stream(entry, &attempt, &path, &prefix);
                record.write(format!(
                    "caller: {attempt} at {}: {status}, whole: {is_whole}",
                    entry.ip()
                ));
            });
            sleep_ms(1_000);
        }
    })
}

/// The rule as written: requests with the part that reach workers later than the stability window after the
/// fifth crash.
fn judge(seen: &Seen, served: (u32, u32), record: &Record) -> bool {
    record.write(format!(
        "{} of {} sound streams were whole",
        served.0, served.1
    ));
    let crashes = seen.crashes.len();
    let Some(fifth) = seen.crashes.get(KNOWN_CRASHES - 1) else {
        record.write(format!("BUDGET held: {crashes} crashes"));
        return true;
    };
    let from = *fifth + Duration::from_millis(STABILITY_MS);
    let late = seen
        .harmful_arrivals
        .iter()
        .filter(|at| **at > from)
        .count();
    let is_kept = late <= ALLOWED;
    let word = if is_kept { "held" } else { "broken" };
    record.write(format!(
        "BUDGET {word}: {crashes} crashes; {late} requests with the harmful part reached workers later than \
         {STABILITY_MS} ms after the fifth crash, {ALLOWED} are allowed"
    ));
    is_kept
}
