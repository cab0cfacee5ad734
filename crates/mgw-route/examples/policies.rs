//! Compares path choice policies at saturation: `cargo run --release --example policies`.

#[path = "support/mod.rs"]
mod support;

use std::io::{self, Write};

use support::{Policy, Shape, SimSettings, run_sim};

const POLICIES: [Policy; 5] = [
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::TwoChoices,
    Policy::FlowGuided,
];

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "shape  sessions lag_ms policy         bound reached   part imbalance token_ms"
    )?;
    for shape in [Shape::Even, Shape::Mixed] {
        for sessions_per_entry in [40, 80, 160] {
            for lag_ms in [0, 500, 2_000] {
                for policy in POLICIES {
                    let outcome = run_sim(SimSettings {
                        shape,
                        policy,
                        lag_ms,
                        slowdown: 1,
                        entries: 8,
                        sessions_per_entry,
                        warmup_s: 20,
                        measurement_s: 40,
                        seed: 5,
                    });
                    writeln!(
                        out,
                        "{:6} {:8} {lag_ms:6} {:13} {:6.0} {:7.0} {:5.1}% {:9.2} {:8.0}",
                        format!("{shape:?}"),
                        sessions_per_entry * 8,
                        format!("{policy:?}"),
                        outcome.bound_per_s,
                        outcome.reached_per_s,
                        outcome.bound_fraction() * 100.0,
                        outcome.imbalance,
                        outcome.token_ms,
                    )?;
                }
            }
        }
    }
    Ok(())
}
