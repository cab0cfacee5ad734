//! Measures the cost of gossip per node, with the real views and messages over in-memory links.
//!
//! - `spread_cost [SECONDS]` prints one line for each number of nodes, with 600 targets that renew
//!   their lease once a second, half of the renewals with a changed load.
//! - `spread_cost leaving [RUNS]` makes seeded runs in which ten targets leave while one node in
//!   ten is isolated.
//! - `spread_cost windows [RUNS]` prints the maximum traffic of one of 330 nodes in any window of
//!   two seconds.
#![allow(clippy::print_stdout, reason = "a measurement prints its result")]

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeSet;
use std::time::Instant;

use mgw_contract::target::Readiness;
use mgw_world::Millis;
use support::{Net, Traffic, busiest_window};

const TARGETS: usize = 600;
const SIZES: [usize; 4] = [10, 30, 100, 330];
const WARM_UP: Millis = Millis(15_000);

fn main() {
    let mut arguments = std::env::args().skip(1);
    match arguments.next().as_deref() {
        Some("leaving") => {
            let runs = arguments.next().and_then(|text| text.parse().ok());
            measure_leaving(runs.unwrap_or(10));
        }
        Some("windows") => {
            let runs = arguments.next().and_then(|text| text.parse().ok());
            measure_windows(runs.unwrap_or(5));
        }
        seconds => measure_cost(seconds.and_then(|text| text.parse().ok()).unwrap_or(20)),
    }
}

fn measure_cost(seconds: u64) {
    println!(
        "nodes targets messages/s sent_B/s received_B/s max_sum_B/s heap_KiB cpu_% oldest_ms unsure_ppm"
    );
    for nodes in SIZES {
        let before_kib = resident_kib();
        let mut net = Net::new(nodes, TARGETS, 1);
        net.run(WARM_UP);
        let memory_kib = resident_kib().saturating_sub(before_kib) / nodes as u64;
        net.traffic = vec![Traffic::default(); nodes];
        let start = Instant::now();
        net.run(Millis(seconds * 1000));
        let busy = start.elapsed().as_secs_f64();
        let mut unsure = 0;
        for _ in 0..10 {
            net.run(Millis(500));
            unsure += (0..TARGETS)
                .map(|t| nodes - net.eligible_nodes(t))
                .sum::<usize>();
        }
        let span_s = seconds + 5;
        let sum = |of: fn(&Traffic) -> u64| net.traffic.iter().map(of).sum::<u64>();
        let per_node = |total: u64| total / nodes as u64 / span_s;
        let node_bytes = net.traffic.iter().map(|t| t.sent_bytes + t.received_bytes);
        println!(
            "{nodes:5} {TARGETS:7} {:10} {:8} {:12} {:11} {memory_kib:8} {:5.3} {:9} {:10}",
            per_node(sum(|t| t.messages)),
            per_node(sum(|t| t.sent_bytes)),
            per_node(sum(|t| t.received_bytes)),
            node_bytes.max().unwrap_or(0) / span_s,
            busy * 100.0 / (seconds as f64 * nodes as f64),
            oldest_age(&net),
            unsure * 100_000 / (TARGETS * nodes),
        );
    }
}

/// Time after which the catch-up transfers of a simultaneous start are over.
const SETTLED: Millis = Millis(7_000);
/// Measured time after that, in seconds.
const WINDOWS_S: u64 = 20;

fn measure_windows(runs: u64) {
    println!("seed busiest_B/s mean_B/s unsure_ppm");
    for seed in 1..=runs {
        let nodes = 330;
        let mut net = Net::new(nodes, TARGETS, seed);
        net.run(SETTLED);
        net.traffic = vec![Traffic::default(); nodes];
        let busiest = busiest_window(&mut net, WINDOWS_S);
        let moved = net.traffic.iter().map(|t| t.sent_bytes + t.received_bytes);
        let mean = moved.sum::<u64>() / WINDOWS_S / nodes as u64;
        let mut unsure = 0;
        for _ in 0..10 {
            net.run(Millis(500));
            unsure += (0..TARGETS)
                .map(|t| nodes - net.eligible_nodes(t))
                .sum::<usize>();
        }
        let unsure_ppm = unsure * 100_000 / (TARGETS * nodes);
        println!("{seed:4} {busiest:11} {mean:8} {unsure_ppm:10}");
    }
}

/// Maximum age of any record in any view.
fn oldest_age(net: &Net) -> u64 {
    let ages = net.views.iter().flat_map(|view| view.nodes(net.now));
    ages.map(|node| node.age_ms.0).max().unwrap_or(0)
}

/// Number of targets that leave in one run.
const LEAVING_IN_RUN: usize = 10;
/// Time between two targets that leave.
const LEAVING_EVERY: Millis = Millis(300);

fn measure_leaving(runs: u64) {
    println!("nodes trials late worst_ms mean_ms");
    for nodes in [30, 330] {
        let spans = (0..runs).flat_map(|seed| measure_leaving_run(nodes, seed));
        let spans: Vec<u64> = spans.collect();
        println!(
            "{nodes:5} {:6} {:4} {:8} {:7}",
            spans.len(),
            spans.iter().filter(|span| **span > 3000).count(),
            spans.iter().max().copied().unwrap_or(0),
            spans.iter().sum::<u64>() / spans.len().max(1) as u64,
        );
    }
}

/// For each leaving target, how long after its announcement it was still eligible at some node, in
/// ms.
fn measure_leaving_run(nodes: usize, seed: u64) -> Vec<u64> {
    let mut net = Net::new(nodes, TARGETS, seed + 1);
    net.loss_percent = 5;
    net.run(Millis(8000));
    let isolated = (0..nodes).filter(|n| n % 10 == 9);
    let isolated = isolated.map(|n| BTreeSet::from([n]));
    let mut left: Vec<(usize, Millis, u64)> = Vec::new();
    net.partitions = isolated.collect();
    for trial in 0..LEAVING_IN_RUN {
        // The home of a target that leaves isn't one of the isolated nodes.
        let target = (0..TARGETS)
            .cycle()
            .skip(trial * 61)
            .find(|t| t % nodes % 10 != 9);
        let target = target.unwrap_or(0);
        assert!(
            net.eligible_nodes(target) > nodes / 2,
            "target {target} was eligible before it left"
        );
        net.announce_readiness(target, Readiness::Leaving);
        left.push((target, net.now, 0));
        net.run_with(LEAVING_EVERY, |net| update_leaving_times(net, &mut left));
    }
    net.run_with(Millis(4000), |net| update_leaving_times(net, &mut left));
    left.into_iter().map(|(_, _, span_ms)| span_ms).collect()
}

fn update_leaving_times(net: &Net, left: &mut [(usize, Millis, u64)]) {
    for (target, left_at, span_ms) in left {
        if net.eligible_nodes(*target) > 0 {
            *span_ms = (net.now - *left_at).0;
        }
    }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}
