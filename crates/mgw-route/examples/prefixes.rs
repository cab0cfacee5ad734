//! Measures cache hit rate and time to the first token without prefix affinity and by each rule:
//! `cargo run --release -p mgw-route --example prefixes`.

#[path = "support/affinity.rs"]
mod affinity;
#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "only the targets are used here")]
mod fleet;

use std::io::{self, Write};

use affinity::{CacheSimSettings, run_cache_sim};
use mgw_route::PrefixRule;

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "entries popular% rate lost% heard_by rule hit_rate saved p50_ms mean_ms p99_ms imbalance resends"
    )?;
    for requests_per_s in [20, 30, 40] {
        for (entries, popular_percent, lost_percent, events_to_one_entry) in [
            (4, 0, 0, false),
            (4, 0, 5, false),
            (4, 0, 0, true),
            (77, 30, 0, false),
            (77, 30, 0, true),
        ] {
            for (rule_name, rule) in [
                ("none", None),
                ("limit", Some(PrefixRule::WithinLoadLimit)),
                ("weighed", Some(PrefixRule::Weighed)),
            ] {
                let outcome = run_cache_sim(CacheSimSettings {
                    with_affinity: rule.is_some(),
                    prefix_rule: rule.unwrap_or_default(),
                    prefixes: 60,
                    common_blocks: 12,
                    popular_percent,
                    cache_capacity_blocks: 300,
                    lost_percent,
                    entries,
                    events_to_one_entry,
                    requests_per_s,
                    seconds: 120,
                    seed: 7,
                });
                writeln!(
                    out,
                    "{entries:7} {popular_percent:8} {requests_per_s:4} {lost_percent:5} {:8} {rule_name:8} {:7.1}% {:7} {:6} {:7.0} {:6} {:9.2} {:7}",
                    if events_to_one_entry { "one" } else { "all" },
                    outcome.hit_rate * 100.0,
                    outcome.saved_tokens,
                    outcome.p50_ms,
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
