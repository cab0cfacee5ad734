//! A part of prompts crashes each worker that writes an answer on it, after two events. Sound streams come
//! beside the requests with that part.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::configuration::{ModelService, configuration};
use crate::http::call;
use crate::record::Record;
use crate::system::{System, replace_configuration, wait_until};
use crate::worker::{Behaviour, Description, Worker};

const DRAFTS: ModelService = ModelService {
    name: "drafts",
    layers: 20,
    layer_mb: 1_750,
    kv_token_bytes: 229_500,
};
const LARGE: Option<(&str, u64)> = Some(("a100", 72_000));
const WORKERS: u8 = 12;
const HARMFUL_PART: &str = "5c1e07a2:40";
const SOUND_PART: &str = "91bd3f06:40";
/// Events that a worker writes before it crashes.
const EVENTS_BEFORE_CRASH: u32 = 2;
/// Time after which a worker that crashed is back.
const BACK_AFTER: Duration = Duration::from_millis(3_000);
/// `stabilityWindowMs` of the settings.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Crash after which requests with the part count, and how many of them may still reach workers.
const KNOWN_CRASHES: usize = 5;
const ALLOWED: usize = 3;
/// Time for which the clients send requests.
const TRAFFIC: Duration = Duration::from_secs(40);
const HARMFUL_PAUSE: Duration = Duration::from_millis(1_000);
const SOUND_CLIENTS: usize = 8;
const SOUND_PAUSE: Duration = Duration::from_millis(200);

/// What clients and workers have seen of the part.
#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    /// When each request with the part was sent that reached a worker, its repeats included.
    arrivals: Vec<Instant>,
    /// When each request with the part was sent, by its id.
    sent: Vec<(String, Instant)>,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let zones = ["regina", "saskatoon", "regina"];
    let entries = ["regina", "saskatoon"];
    let system = System::start(&zones, &entries).map_err(|error| error.to_string())?;
    if !replace_configuration(&system, record, &configuration(7, &[DRAFTS]), 20_000) {
        return Err("no control acknowledged the configuration".to_owned());
    }
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        workers.push(start_worker(
            &system,
            record,
            &seen,
            has_trouble,
            number,
            0,
        )?);
    }
    if !wait_until(30_000, || {
        workers.iter().all(|worker| worker.layers().is_some())
    }) {
        return Err("not all workers were ordered to load layers".to_owned());
    }
    let is_ready = |address: &SocketAddr| {
        let limit = Duration::from_millis(500);
        let asked = call(
            *address,
            "GET",
            "/masticgw/readiness",
            &[("Host", "ready")],
            b"",
            limit,
        );
        asked.is_ok_and(|answer| answer.status == 200)
    };
    if !wait_until(20_000, || system.readiness().iter().all(is_ready)) {
        return Err("the entries didn't become ready".to_owned());
    }
    sleep(Duration::from_secs(3));
    let has_ended = Arc::new(AtomicBool::new(false));
    let whole = Arc::new(AtomicU64::new(0));
    let sound = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for number in 0..SOUND_CLIENTS {
        let entry = system.entries()[number % entries.len()];
        let (has_ended, whole, sound) = (
            Arc::clone(&has_ended),
            Arc::clone(&whole),
            Arc::clone(&sound),
        );
        let record = Arc::clone(record);
        clients.push(thread::spawn(move || {
            send_sound(&record, number, entry, &has_ended, &whole, &sound);
        }));
    }
    let harmful = {
        let (record, seen, has_ended) = (
            Arc::clone(record),
            Arc::clone(&seen),
            Arc::clone(&has_ended),
        );
        let entries = system.entries();
        thread::spawn(move || send_harmful(&entries, &record, &seen, &has_ended))
    };
    let started = Instant::now();
    let mut generation = 0;
    let mut down: Vec<(usize, Instant)> = Vec::new();
    while started.elapsed() < TRAFFIC {
        for (at, worker) in workers.iter().enumerate() {
            let is_down = worker.has_ended.load(Ordering::SeqCst);
            if is_down && !down.iter().any(|(known, _)| *known == at) {
                down.push((at, Instant::now()));
            }
        }
        let due: Vec<usize> = down
            .iter()
            .filter(|(_, since)| since.elapsed() >= BACK_AFTER)
            .map(|(at, _)| *at)
            .collect();
        for at in due {
            generation += 1;
            let number = at as u8;
            workers[at] = start_worker(&system, record, &seen, has_trouble, number, generation)?;
            down.retain(|(known, _)| *known != at);
        }
        sleep(Duration::from_millis(20));
    }
    has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let _ = harmful.join();
    let seen = lock(&seen);
    let counted_from = seen
        .crashes
        .get(KNOWN_CRASHES - 1)
        .map(|at| *at + STABILITY_WINDOW);
    let late = counted_from.map_or(0, |from| {
        seen.arrivals.iter().filter(|sent| **sent >= from).count()
    });
    record.line(&format!(
        "{} crashes; {late} requests with the part reached workers, sent later than 3,000 ms after the \
         fifth crash, {ALLOWED} are allowed",
        seen.crashes.len()
    ));
    let (whole, sound) = (whole.load(Ordering::SeqCst), sound.load(Ordering::SeqCst));
    record.line(&format!("{whole} of {sound} sound streams were whole"));
    if whole == 0 {
        return Err("no sound stream was whole".to_owned());
    }
    Ok(if late > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn lock(seen: &Mutex<Seen>) -> std::sync::MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// Starts a worker; each start has an id of its own.
fn start_worker(
    system: &System,
    record: &Arc<Record>,
    seen: &Arc<Mutex<Seen>>,
    has_trouble: bool,
    number: u8,
    generation: u32,
) -> Result<Arc<Worker>, String> {
    let description = Description {
        id: format!("i-drafts-{number}-{generation}"),
        service: DRAFTS.name,
        zone: if number % 2 == 0 {
            "regina"
        } else {
            "saskatoon"
        },
        address: system.addresses.worker(number),
        card: LARGE,
        model_layers: DRAFTS.layers,
        layer_mb: DRAFTS.layer_mb,
    };
    let behaviour = harmed(seen, has_trouble);
    Worker::start(
        description,
        system.controls(),
        Arc::clone(record),
        Some(behaviour),
    )
    .map_err(|error| error.to_string())
}

/// A worker begins to write an answer on the harmful part, and crashes after some events.
fn harmed(seen: &Arc<Mutex<Seen>>, has_trouble: bool) -> Box<Behaviour> {
    let seen = Arc::clone(seen);
    Box::new(move |worker, request, mut stream: &TcpStream| {
        let prompt = request.header("masticgw-prompt-prefix").unwrap_or_default();
        let expected = request.header("masticgw-expect-instance");
        if !prompt.starts_with(HARMFUL_PART) || expected != Some(worker.description.id.as_str()) {
            return false;
        }
        let id = request.header("masticgw-attempt-id").unwrap_or_default();
        {
            let mut seen = lock(&seen);
            let sent = seen.sent.iter().find(|(known, _)| known == id);
            let sent = sent.map_or_else(Instant::now, |(_, at)| *at);
            seen.arrivals.push(sent);
        }
        if !has_trouble {
            return false;
        }
        worker.note(&format!("runs {id} with the harmful part"));
        let head = write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMasticgw-Attempt-Id: {id}\r\n\
             Masticgw-Response-Seal: {}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            worker.description.id
        );
        for event in 1..=EVENTS_BEFORE_CRASH {
            sleep(Duration::from_millis(25));
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            let _ = write!(stream, "{:x}\r\n{text}\r\n", text.len());
        }
        sleep(Duration::from_millis(25));
        if head.is_ok() && !worker.has_ended.load(Ordering::SeqCst) {
            lock(&seen).crashes.push(Instant::now());
            worker.crash();
        }
        true
    })
}

/// Sends sound streams, one after the other.
fn send_sound(
    record: &Record,
    client: usize,
    entry: SocketAddr,
    has_ended: &AtomicBool,
    whole: &AtomicU64,
    sound: &AtomicU64,
) {
    let mut number = 0;
    while !has_ended.load(Ordering::SeqCst) {
        number += 1;
        let id = format!(
            "{:016x}",
            0x5000_0000_u64 + client as u64 * 100_000 + number
        );
        let prompt = format!("{SOUND_PART},{id}:60");
        sound.fetch_add(1, Ordering::SeqCst);
        record.line(&format!("client: sends {id}, a sound stream, to {entry}"));
        if send_stream(record, entry, &id, &prompt) {
            whole.fetch_add(1, Ordering::SeqCst);
        }
        sleep(SOUND_PAUSE);
    }
}

/// Sends requests with the harmful part, no two alike, to one entry after the other. Each waits for its
/// answer in a thread of its own.
fn send_harmful(
    entries: &[SocketAddr],
    record: &Arc<Record>,
    seen: &Arc<Mutex<Seen>>,
    has_ended: &AtomicBool,
) {
    let mut number: usize = 0;
    while !has_ended.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{:016x}", 0xdead_0000_u64 + number as u64);
        let entry = entries[number % entries.len()];
        lock(seen).sent.push((id.clone(), Instant::now()));
        record.line(&format!(
            "client: sends {id} with the harmful part to {entry}"
        ));
        let record = Arc::clone(record);
        thread::spawn(move || {
            let prompt = format!("{HARMFUL_PART},{SOUND_PART},{id}:60");
            send_stream(&record, entry, &id, &prompt)
        });
        sleep(HARMFUL_PAUSE);
    }
}

/// Sends a stream and returns whether its answer is whole.
fn send_stream(record: &Record, entry: SocketAddr, id: &str, prompt: &str) -> bool {
    let headers = [
        ("Host", "studio.example"),
        ("Masticgw-Attempt-Id", id),
        ("Masticgw-Deadline-Ms", "5000"),
        ("Masticgw-Model", "m0"),
        ("Masticgw-Token-Counts", "140,20"),
        ("Masticgw-Prompt-Prefix", prompt),
    ];
    let body = id.as_bytes();
    let answer = call(
        entry,
        "POST",
        "/drafts/plan",
        &headers,
        body,
        Duration::from_secs(6),
    );
    let text = match &answer {
        Ok(answer) => format!("{}, whole: {}", answer.status, answer.is_whole),
        Err(error) => error.to_string(),
    };
    record.line(&format!("client: {id} got {text}"));
    answer.is_ok_and(|answer| answer.status == 200 && answer.is_whole)
}
