//! Measures cache hit rate and time to the first token with and without prefix affinity:
//! `cargo run --release -p mgw-route --example prefixes`.

#[path = "support/affinity.rs"]
mod affinity;
#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "only the targets are used here")]
mod fleet;

use std::io::{self, Write};

use affinity::{CacheSimSettings, run_cache_sim};

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "rate lost% heard_by affinity hit_rate mean_ms p99_ms imbalance resends"
    )?;
    for requests_per_s in [20, 30, 40] {
        for (lost_percent, events_to_one_entry) in [(0, false), (5, false), (0, true)] {
            for with_affinity in [false, true] {
                let outcome = run_cache_sim(CacheSimSettings {
                    with_affinity,
                    prefixes: 60,
                    cache_capacity_blocks: 300,
                    lost_percent,
                    entries: 4,
                    events_to_one_entry,
                    requests_per_s,
                    seconds: 120,
                    seed: 7,
                });
                writeln!(
                    out,
                    "{requests_per_s:4} {lost_percent:5} {:8} {with_affinity:8} {:7.1}% {:7.0} {:6} {:9.2} {:7}",
                    if events_to_one_entry { "one" } else { "all" },
                    outcome.hit_rate * 100.0,
                    outcome.mean_ms,
                    outcome.p99_ms,
                    outcome.imbalance,
                    outcome.resends,
                )?;
            }
        }
    }
    Ok(())
}
