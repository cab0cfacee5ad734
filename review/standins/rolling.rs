//! Case 1: controls are replaced one after the other, as planned work, each time the one that leads. Each
//! new machine has its time to catch up before the old one gets SIGTERM. The operator then reads the
//! configuration.
//!
//! Arguments: the record, `0` for no trouble, and, for trials, the number of controls, which are then replaced
//! in a fixed order, each once.

#[path = "system.rs"]
mod system;

use std::path::Path;
use std::process::exit;
use system::{Record, Role, System, configuration, sleep_ms};

/// Time from the start of a new control to the SIGTERM of the old one; `catchUpS` is 4.
const CATCH_UP_MS: u64 = 4_500;
/// Number of controls that are replaced.
const REPLACED: usize = 5;
/// Longest time that a stopped process takes; `gracePeriodS` is 8.
const GRACE_MS: u64 = 8_000;
/// Time for which the operator reads the configuration at the end; `stabilityWindowMs` is 3,000.
const READ_MS: u64 = 20_000;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let record = Record::create(Path::new(&arguments[1])).expect("record");
    let code = match run(record.clone(), arguments[2] != "0", arguments.get(3)) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.write(format!("the case couldn't run: {error}"));
            2
        }
    };
    exit(code);
}

fn run(record: Record, has_trouble: bool, in_order: Option<&String>) -> std::io::Result<bool> {
    let mut system = System::new(record.clone())?;
    let in_order: Option<usize> = in_order.map(|count| count.parse().expect("a number"));
    let zones = &["a", "b", "c", "a", "b"][..in_order.unwrap_or(5)];
    let controls: Vec<usize> = zones
        .iter()
        .map(|zone| system.add(Role::Control, zone, true))
        .collect();
    let entries: Vec<usize> = ["a", "b"]
        .iter()
        .map(|zone| system.add(Role::Entry, zone, true))
        .collect();
    let port = system.control_port();
    let seeds: Vec<_> = controls
        .iter()
        .map(|at| (system.machines[*at].ip, port).into())
        .collect();
    for at in controls.iter().chain(&entries) {
        system.start(*at, &seeds)?;
    }
    if !system.put(1, &configuration(1), 10_000) {
        return Err(std::io::Error::other(
            "the first configuration isn't acknowledged",
        ));
    }
    sleep_ms(10_000);
    if !system.put(2, &configuration(2), 10_000) {
        return Err(std::io::Error::other(
            "the second configuration isn't acknowledged",
        ));
    }
    for round in 0..in_order.unwrap_or(REPLACED) {
        let pick = |system: &System| match in_order {
            Some(_) => Some(controls[round]),
            None => system.leader(),
        };
        if has_trouble {
            let zone = pick(&system).map_or("a", |at| system.machines[at].zone);
            let seeds = system.controls();
            let new = system.add(Role::Control, zone, false);
            system.start(new, &seeds)?;
        }
        sleep_ms(CATCH_UP_MS);
        if has_trouble {
            let Some(old) = pick(&system) else {
                record.write("no control leads");
                break;
            };
            system.terminate(old, GRACE_MS)?;
        }
        sleep_ms(1_000);
    }
    sleep_ms(6_000);
    record.write(format!(
        "{} controls run and are connected; version 2 was acknowledged",
        system.controls().len()
    ));
    let version = system.read_back(READ_MS);
    for at in 0..system.machines.len() {
        for line in system.log_lines(at, "proposed a membership change") {
            record.write(format!("log of {}: {}", system.machines[at].name, line));
        }
    }
    match version {
        Some(version) if version >= 2 => {
            record.write(format!("CONFIG held: version {version} was read back"));
            Ok(true)
        }
        other => {
            record.write(format!(
                "CONFIG broken: version 2 was acknowledged, {other:?} was read back"
            ));
            Ok(false)
        }
    }
}
