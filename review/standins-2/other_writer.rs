//! Heartbeats of another writer, each with one field missing or of another type, name processes that belong to
//! no service of the configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::Verdict;
use crate::http::call;
use crate::record::Record;
use crate::system::{System, replace_configuration, wait_until};
use crate::worker::{Description, Worker};

/// Number of requests that the client sends, one after the other.
const REQUESTS: u32 = 60;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let zones = ["regina", "saskatoon", "regina"];
    let system = System::start(&zones, &["regina"]).map_err(|error| error.to_string())?;
    if !replace_configuration(&system, record, CONFIGURATION, 20_000) {
        return Err("no control acknowledged the configuration".to_owned());
    }
    let start = |id: &str, host, registers| {
        let description = Description {
            id: id.to_owned(),
            service: "studio-app",
            zone: "regina",
            address: system.addresses.worker(host),
            card: None,
            model_layers: 0,
            layer_mb: 0,
        };
        let controls = if registers {
            system.controls()
        } else {
            Vec::new()
        };
        Worker::start(description, controls, Arc::clone(record), None)
            .map_err(|error| error.to_string())
    };
    let _own = [start("i-studio-0", 0, true)?, start("i-studio-1", 1, true)?];
    let others = [start("other-0", 2, false)?, start("other-1", 3, false)?];
    let has_ended = Arc::new(AtomicBool::new(false));
    if has_trouble {
        // The software's version is missing.
        let missing = "\"coldRemainingMs\":0,";
        // The time for which the worker remains slow is a text.
        let mistyped = "\"version\":\"v1\",\"coldRemainingMs\":\"none\",";
        for (other, fields) in others.iter().zip([missing, mistyped]) {
            let address = other.description.address;
            let id = other.description.id.clone();
            let (controls, record) = (system.controls(), Arc::clone(record));
            let has_ended = Arc::clone(&has_ended);
            thread::spawn(move || {
                send_heartbeats(&id, address, fields, &controls, &record, &has_ended);
            });
        }
    }
    let entry = system.entries()[0];
    let is_ready = || {
        let limit = Duration::from_millis(500);
        let asked = call(
            system.readiness()[0],
            "GET",
            "/masticgw/readiness",
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
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + u64::from(number));
        let headers = [
            ("Host", "studio.example"),
            ("Masticgw-Attempt-Id", id.as_str()),
            ("Masticgw-Deadline-Ms", "1500"),
        ];
        let answer = call(
            entry,
            "POST",
            "/license/charge",
            &headers,
            b"mark=1",
            Duration::from_secs(2),
        );
        let text = match &answer {
            Ok(answer) => {
                served += u32::from(answer.status == 200);
                let seal = answer.header("masticgw-response-seal").unwrap_or("none");
                format!("{} (seal {seal})", answer.status)
            }
            Err(error) => error.to_string(),
        };
        record.line(&format!("client: request {id} got {text}"));
        sleep(Duration::from_millis(50));
    }
    has_ended.store(true, Ordering::SeqCst);
    let foreign: u64 = others
        .iter()
        .map(|other| other.runs.load(Ordering::SeqCst))
        .sum();
    record.line(&format!(
        "{served} of {REQUESTS} requests served; {foreign} run by processes that no sound heartbeat named"
    ));
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(if foreign > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends the heartbeats of another writer until the run ends.
fn send_heartbeats(
    id: &str,
    address: SocketAddr,
    fields: &str,
    controls: &[SocketAddr],
    record: &Record,
    has_ended: &AtomicBool,
) {
    let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let born_ms = born.unwrap_or_default().as_millis();
    let mut sequence = 0;
    while !has_ended.load(Ordering::SeqCst) {
        sequence += 1;
        let body = format!(
            "{{\"service\":\"studio-app\",\"address\":\"{address}\",\"zone\":\"regina\",{fields}\
             \"slots\":6,\"state\":\"ready\",\"sequence\":{sequence},\"born\":{born_ms}}}"
        );
        let control = controls[sequence % controls.len()];
        let path = format!("/masticgw/Instances.Heartbeat/{id}");
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let answer = call(
            control,
            "POST",
            &path,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        if sequence <= 2 {
            let status = answer.map_or(0, |it| it.status);
            record.line(&format!("other writer: {path} {body} got {status}"));
        }
        sleep(Duration::from_millis(1_200));
    }
}

const CONFIGURATION: &str = r#"{"version":7,
"routes":[{"name":"r-charge","host":"studio.example","pathPrefix":"/license/","kind":"unsafe","timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"studio-app","maxAttempts":1,"public":true,"stickySessions":false,"resumable":false,"targetGapMs":0}],
"services":[{"name":"studio-app","healthCheckPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;
