//! One of three workers with a large card crashes for good before the first configuration arrives, so that small cards
//! share the first chain.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::configuration::{ModelService, configuration};
use crate::record::Record;
use crate::system::{System, replace_configuration};
use crate::worker::{Description, Worker};

const LAYERS: u64 = 20;
const LAYER_MB: u64 = 8_300;
const LARGE: Option<(&str, u64)> = Some(("a100", 72_000));
const SMALL: Option<(&str, u64)> = Some(("l4", 21_600));
const LARGE_CARDS: u8 = 3;
const SMALL_CARDS: u8 = 7;
/// Time in which all workers have registered.
const REGISTERED: Duration = Duration::from_secs(3);
/// Time after which the controls count a worker without heartbeats as lost.
const FORGOTTEN: Duration = Duration::from_secs(6);
/// Time for which the orders are watched.
const WATCHED: Duration = Duration::from_secs(15);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let zones = ["regina", "saskatoon", "regina"];
    let system = System::start(&zones, &["regina"]).map_err(|error| error.to_string())?;
    let service = ModelService {
        name: "drafts",
        layers: LAYERS,
        layer_mb: LAYER_MB,
        kv_token_bytes: 25_000,
    };
    let mut workers = Vec::new();
    for number in 0..LARGE_CARDS + SMALL_CARDS {
        let is_large = number < LARGE_CARDS;
        let description = Description {
            id: format!("i-drafts-{number}"),
            service: "drafts",
            zone: "regina",
            address: system.addresses.worker(number),
            card: if is_large { LARGE } else { SMALL },
            model_layers: LAYERS,
            layer_mb: LAYER_MB,
        };
        let started = Worker::start(description, system.controls(), Arc::clone(record), None);
        workers.push(started.map_err(|error| error.to_string())?);
    }
    sleep(REGISTERED);
    if has_trouble {
        workers[usize::from(LARGE_CARDS) - 1].crash();
    }
    sleep(FORGOTTEN);
    if !replace_configuration(&system, record, &configuration(7, &[service]), 20_000) {
        return Err("no control acknowledged the configuration".to_owned());
    }
    sleep(WATCHED);
    if workers.iter().all(|worker| worker.layers().is_none()) {
        return Err("no worker was ordered to load layers".to_owned());
    }
    let oversized: u64 = workers
        .iter()
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
