//! Case 2: two controls are down for a while one after the other, later two are replaced one after
//! the other. At no time is more than one of the five lost. The operator then reads the configuration.

#[path = "system.rs"]
mod system;

use std::path::Path;
use std::process::exit;
use system::{Record, Role, System, configuration, sleep_ms};

/// Time for which a machine is down before it is back with its disk.
const DOWN_MS: u64 = 16_000;
/// Time after the return or the start of a machine in which nothing else is done; `catchUpS` is 4.
const CALM_MS: u64 = 6_000;
/// Time from the loss of a machine that is gone for good to the start of its successor.
const SUCCESSOR_MS: u64 = 1_000;
/// Time for which the operator reads the configuration at the end; `stabilityWindowMs` is 3,000.
const READ_MS: u64 = 20_000;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let record = Record::create(Path::new(&arguments[1])).expect("record");
    let has_trouble = arguments[2] != "0";
    let code = match run(record.clone(), has_trouble) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.write(format!("the case couldn't run: {error}"));
            2
        }
    };
    exit(code);
}

fn run(record: Record, has_trouble: bool) -> std::io::Result<bool> {
    let mut system = System::new(record.clone())?;
    let zones = ["a", "a", "b", "b", "c"];
    let mut controls: Vec<usize> = zones
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
    sleep_ms(8_000);
    for at in [3, 4] {
        if has_trouble {
            system.kill(controls[at])?;
        }
        sleep_ms(DOWN_MS);
        if has_trouble {
            let seeds = system.controls();
            system.start(controls[at], &seeds)?;
        }
        sleep_ms(CALM_MS);
    }
    if !system.put(2, &configuration(2), 10_000) {
        return Err(std::io::Error::other(
            "the second configuration isn't acknowledged",
        ));
    }
    for at in [0, 1] {
        if has_trouble {
            system.kill(controls[at])?;
        }
        sleep_ms(SUCCESSOR_MS);
        if has_trouble {
            let seeds = system.controls();
            controls[at] = system.add(Role::Control, zones[at], false);
            system.start(controls[at], &seeds)?;
        }
        sleep_ms(CALM_MS);
    }
    record.write(format!(
        "{} controls run and are connected; version 2 was acknowledged",
        system.controls().len()
    ));
    let version = system.read_back(READ_MS);
    for at in &controls {
        for line in system.log_lines(*at, "proposed a membership change") {
            record.write(format!("log of {}: {}", system.machines[*at].name, line));
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
