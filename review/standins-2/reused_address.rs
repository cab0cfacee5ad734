//! A worker crashes right after its start, and its address goes to a worker of another service with a
//! smaller card.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::system::{System, replace_configuration, wait_until};
use crate::worker::{Description, Worker};

/// Time after the end of a worker until its address is used again; `reuseAfterS` is 2.
const REUSE_AFTER: Duration = Duration::from_millis(2_200);
/// Time for which the worker with the small card is watched.
const WATCHED: Duration = Duration::from_millis(12_000);

const LARGE: Option<(&str, u64)> = Some(("a100", 72_000));
const SMALL: Option<(&str, u64)> = Some(("l4", 21_600));
const DRAFTS_LAYERS: u64 = 80;
const LABELS_LAYERS: u64 = 20;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let zones = ["regina", "saskatoon", "regina"];
    let system = System::start(&zones, &["regina"]).map_err(|error| error.to_string())?;
    let start = |id: &str, service, host, card, model_layers| {
        let description = Description {
            id: id.to_owned(),
            service,
            zone: "regina",
            address: system.addresses.worker(host),
            card,
            model_layers,
        };
        Worker::start(description, system.controls(), Arc::clone(record), None)
            .map_err(|error| error.to_string())
    };
    if !replace_configuration(&system, record, &configuration(7), 20_000) {
        return Err("no control acknowledged the configuration".to_owned());
    }
    let mut workers = Vec::new();
    for number in 0..3 {
        workers.push(start(
            &format!("i-drafts-{number}"),
            "drafts",
            number,
            LARGE,
            DRAFTS_LAYERS,
        )?);
    }
    for number in 3..6 {
        workers.push(start(
            &format!("i-labels-{number}"),
            "labels",
            number,
            SMALL,
            LABELS_LAYERS,
        )?);
    }
    if !wait_until(30_000, || {
        workers.iter().all(|worker| worker.layers().is_some())
    }) {
        return Err("not all workers were ordered to load layers".to_owned());
    }
    record.line("all workers hold layers");
    sleep(Duration::from_secs(4));
    let added = start("i-drafts-new", "drafts", 8, LARGE, DRAFTS_LAYERS)?;
    sleep(Duration::from_millis(150));
    let successor_host = if has_trouble {
        added.crash();
        8
    } else {
        9
    };
    sleep(REUSE_AFTER);
    let successor = start(
        "i-labels-new",
        "labels",
        successor_host,
        SMALL,
        LABELS_LAYERS,
    )?;
    sleep(WATCHED);
    let all = workers.iter().chain([&added, &successor]);
    let oversized: u64 = all
        .map(|worker| worker.oversized.load(Ordering::SeqCst))
        .sum();
    record.line(&format!(
        "{oversized} orders asked for more layers than the card holds"
    ));
    Ok(if oversized > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

pub fn configuration(version: u64) -> String {
    let engine = |layers: u64| {
        format!(
            "{{\"slots\":192,\"kvCacheTokens\":100000,\"kvTokenBytes\":{bytes},\"linkMbps\":400000.0,\
             \"stride\":3,\"models\":[{{\"name\":\"m0\",\"pace\":1.0,\"loadS\":2.0,\"warmS\":1.0}}],\
             \"step_ms\":1.02,\"per_seq_ms\":0.00714,\"context_per_k\":0.00956,\"read_per_s\":105000.0,\
             \"pairs_per_m\":0.309,\"chunk\":512,\"report_lag_ms\":200.0,\"loadsPerS\":0.0,\
             \"loads_at_once\":5,\"delays\":[],\"usual\":{{\"prompt\":774,\"answer\":204}},\
             \"layers\":{layers},\"layerMb\":1750.0,\"activationBytes\":45900,\"pipeMbps\":22000.0,\
             \"kinds\":[{{\"name\":\"a100\",\"sizeMb\":72000.0,\"pace\":2.4,\"readFactor\":3.2}},\
             {{\"name\":\"l4\",\"sizeMb\":21600.0,\"pace\":16.0,\"readFactor\":8.2}}]}}",
            bytes = 11_475 * layers,
        )
    };
    let route = |name: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"studio.example\",\"pathPrefix\":\"/{service}/\",\
             \"kind\":\"streaming\",\"timeoutMs\":20000,\"targetLatencyMs\":500,\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":2,\"public\":true,\"stickySessions\":true,\
             \"resumable\":true,\"targetGapMs\":200}}"
        )
    };
    let service = |name: &str, layers| {
        format!(
            "{{\"name\":\"{name}\",\"healthCheckPath\":\"/health\",\"maxConnections\":1128,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{}}}",
            engine(layers)
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[]}}",
        route("r-drafts", "drafts"),
        route("r-labels", "labels"),
        service("drafts", DRAFTS_LAYERS),
        service("labels", LABELS_LAYERS),
    )
}
