//! Measures the CPU time of the router with 600 targets:
//! `cargo run --release -p mgw-route --example cost`.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "only the targets are used here")]
mod fleet;

use std::io::{self, Write};
use std::sync::Arc;
use std::time::Instant;

use fleet::{LAYERS, make_target};
use mgw_route::{
    Admission, AdmissionCapacity, AdmissionRequest, AdmissionSettings, Event, PathRequest, Router,
    RouterSettings, TargetInput, digest_prefixes,
};
use mgw_world::{Link, Millis, Model, RequestId, Target};

const TARGETS: usize = 600;
const PLACES: [&str; 4] = ["pos-a", "sfo-b", "chg-c", "reg-d"];
const SPEEDS: [u32; 5] = [50, 100, 200, 400, 800];

fn make_targets() -> Vec<Arc<Target>> {
    let cuts = [
        (0, 6),
        (6, 12),
        (12, 18),
        (18, 24),
        (0, 8),
        (8, 16),
        (16, 24),
        (0, 12),
        (12, 24),
    ];
    let target = |index: usize| {
        let (first, end) = cuts[index % cuts.len()];
        let place = PLACES[index / cuts.len() % PLACES.len()];
        make_target(index, place, first, end, SPEEDS[index % SPEEDS.len()])
    };
    (0..TARGETS).map(target).collect()
}

fn make_links() -> Vec<Link> {
    let mut links = Vec::new();
    for (index, from) in PLACES.into_iter().enumerate() {
        for to in &PLACES[index + 1..] {
            links.push(Link {
                from: from.into(),
                to: (*to).into(),
                latency_us: 500,
                bytes_per_s: 50_000_000 / (index as u64 * 9 + 1),
            });
        }
    }
    links
}

fn inputs(targets: &[Arc<Target>]) -> impl Iterator<Item = TargetInput> + '_ {
    targets.iter().map(|target| TargetInput {
        target: Arc::clone(target),
        warm_share: 1.0,
        load: Default::default(),
        load_age_ms: Millis(500),
    })
}

/// Runs `work` `count` times and returns the mean time of one run in microseconds.
fn mean_time_us(count: u32, mut work: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for index in 0..count {
        work(index);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    let targets = make_targets();
    let mut router = Router::new(RouterSettings::default());
    router.update_models([Model {
        name: "drill".into(),
        version: "v1".into(),
        layers: LAYERS,
        activation_bytes: 8_192,
        kv_bytes_per_layer: 1_024,
    }]);
    router.update_links(make_links());
    router.update_targets(inputs(&targets), Millis(0));
    let base_request = PathRequest {
        model: "drill".into(),
        version: "v1".into(),
        tokens: 100,
        ..PathRequest::default()
    };
    let first = mean_time_us(1, |_| drop(router.choose_path(&base_request, Millis(0))));
    writeln!(
        out,
        "first choice, with the plan of {TARGETS} targets: {first:.0} us"
    )?;
    let choice = mean_time_us(20_000, |_| {
        if let Ok(path) = router.choose_path(&base_request, Millis(0)) {
            router.release(path.reservation);
        }
    });
    writeln!(out, "choice and release: {choice:.1} us")?;
    let requests: Vec<_> = (0..500_u32)
        .map(|index| {
            let tokens: Vec<u32> = (0..64 * 16).map(|token| token + index * 10_000).collect();
            PathRequest {
                prefixes: digest_prefixes(&tokens),
                ..base_request.clone()
            }
        })
        .collect();
    let prefixed = mean_time_us(20_000, |index| {
        let request = &requests[index as usize % requests.len()];
        if let Ok(path) = router.choose_path(request, Millis(0)) {
            router.release(path.reservation);
        }
    });
    writeln!(out, "choice and release with 64 prefixes: {prefixed:.1} us")?;
    let update = mean_time_us(200, |_| {
        router.update_targets(inputs(&targets), Millis(0));
        drop(router.choose_path(&base_request, Millis(0)));
    });
    writeln!(out, "loads of all targets and one choice: {update:.0} us")?;
    let suspect = mean_time_us(50, |index| {
        router.mark_suspect(&targets[index as usize].name, Millis(0));
        drop(router.choose_path(&base_request, Millis(0)));
    });
    writeln!(
        out,
        "one suspect target, plan and one choice: {suspect:.0} us"
    )?;
    let step = mean_time_us(100_000, |index| {
        let target = &targets[index as usize % targets.len()];
        router.record_step_latency(&target.name, Millis(10));
    });
    writeln!(out, "one observed step: {step:.2} us")?;
    let admission = time_admission();
    writeln!(
        out,
        "one request through 260 full queues: {admission:.1} us"
    )
}

/// Offers, starts and finishes requests while 260 workspaces have eight waiting requests each;
/// returns the mean time per request in microseconds.
fn time_admission() -> f64 {
    let capacity = AdmissionCapacity {
        max_requests: 1,
        kv_bytes: u64::MAX,
    };
    let mut admission = Admission::new(AdmissionSettings::default(), capacity);
    let request = |id: u32| AdmissionRequest {
        id: RequestId(u128::from(id)),
        workspace: format!("w{}", id % 260).into(),
        weight: 1 + id % 7,
        priority: 0,
        deadline_ms: None,
        tokens: 100,
        kv_bytes: 0,
    };
    for id in 0..=260 * 8 {
        admission.offer(request(id), Millis(0));
    }
    let mut running = RequestId(0);
    mean_time_us(20_000, |index| {
        admission.finished(running, Millis(0));
        for event in admission.poll(Millis(0)) {
            if let Event::Start { id } = event {
                running = id;
            }
        }
        admission.offer(request(10_000 + index), Millis(0));
    })
}
