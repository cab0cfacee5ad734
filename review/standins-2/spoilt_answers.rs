//! A worker spoils a few of its answers: in place of one it sends `101 Switching Protocols`, for which nobody asked.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::http::{call, read_answer, send};
use crate::record::Record;
use crate::system::{System, replace_configuration, wait_until};
use crate::worker::{Behaviour, Description, Worker};

/// Number of requests that the client sends, one after the other.
const REQUESTS: u32 = 600;
/// The worker spoils one of so many answers.
const SPOILS_ONE_IN: u64 = 34;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let zones = ["regina", "saskatoon", "regina"];
    let system = System::start(&zones, &["regina"]).map_err(|error| error.to_string())?;
    if !replace_configuration(&system, record, CONFIGURATION, 20_000) {
        return Err("no control acknowledged the configuration".to_owned());
    }
    let mut workers = Vec::new();
    for number in 0..3 {
        let behaviour = (has_trouble && number == 0).then(|| spoiling(record));
        let description = Description {
            id: format!("i-studio-{number}"),
            service: "studio-app",
            zone: "regina",
            address: system.addresses.worker(number),
            card: None,
            model_layers: 0,
            layer_mb: 0,
        };
        let started = Worker::start(
            description,
            system.controls(),
            Arc::clone(record),
            behaviour,
        );
        workers.push(started.map_err(|error| error.to_string())?);
    }
    let is_ready = || {
        let limit = Duration::from_millis(500);
        let path = "/masticgw/readiness";
        let asked = call(
            system.readiness()[0],
            "GET",
            path,
            &[("Host", "ready")],
            b"",
            limit,
        );
        asked.is_ok_and(|answer| answer.status == 200)
    };
    if !wait_until(20_000, is_ready) {
        return Err("the entry didn't become ready".to_owned());
    }
    sleep(Duration::from_secs(3));
    let (mut served, mut broken) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + u64::from(number));
        match ask(system.entries()[0], &id) {
            Ok(200) => served += 1,
            Ok(status @ 100..200) => {
                broken += 1;
                record.line(&format!(
                    "client: request {id} got {status}, then the entry closed the connection"
                ));
            }
            Ok(status) => record.line(&format!("client: request {id} got {status}")),
            Err(error) => record.line(&format!("client: request {id} got no answer: {error}")),
        }
        sleep(Duration::from_millis(10));
    }
    record.line(&format!(
        "{served} of {REQUESTS} requests served; {broken} got bytes that are no answer to them"
    ));
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends a request and returns the status of the last head that came before the answer was whole or the
/// connection ended.
fn ask(entry: SocketAddr, id: &str) -> std::io::Result<u16> {
    let limit = Duration::from_secs(2);
    let stream = TcpStream::connect_timeout(&entry, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let headers = [
        ("Host", "studio.example"),
        ("Masticgw-Attempt-Id", id),
        ("Masticgw-Deadline-Ms", "1500"),
    ];
    send(&stream, "GET", "/asset/logo", &headers, b"")?;
    let mut reader = BufReader::new(stream);
    let first = read_answer(&mut reader)?.status;
    if !(100..200).contains(&first) {
        return Ok(first);
    }
    // After an interim response the answer itself may still come.
    Ok(read_answer(&mut reader).map_or(first, |answer| answer.status))
}

/// Sends the odd bytes in place of some answers, and keeps the connection open.
fn spoiling(record: &Arc<Record>) -> Box<Behaviour> {
    let count = AtomicU64::new(0);
    let record = Arc::clone(record);
    Box::new(move |request, mut stream: &TcpStream| {
        if !request.path.starts_with("/asset/") {
            return false;
        }
        if count.fetch_add(1, Ordering::SeqCst) % SPOILS_ONE_IN != SPOILS_ONE_IN - 1 {
            return false;
        }
        let id = request.header("masticgw-attempt-id").unwrap_or_default();
        record.line(&format!("worker i-studio-0 spoils its answer to {id}"));
        let sent = write!(
            stream,
            "HTTP/1.1 101 Switching Protocols\r\nMasticgw-Attempt-Id: {id}\r\n\r\n"
        );
        if sent.is_ok() {
            sleep(Duration::from_secs(3));
        }
        true
    })
}

const CONFIGURATION: &str = r#"{"version":7,
"routes":[{"name":"r-asset","host":"studio.example","pathPrefix":"/asset/","kind":"safe","timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"studio-app","maxAttempts":2,"public":true,"stickySessions":false,"resumable":false,"targetGapMs":0}],
"services":[{"name":"studio-app","healthCheckPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;
