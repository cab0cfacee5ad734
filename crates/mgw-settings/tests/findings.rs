//! Parses each file in `tests/bad` and compares the findings with its `.expected` file; the files in
//! `tests/good` must load without findings.

use std::net::SocketAddr;
use std::path::Path;

use mgw_settings::{LogSettings, load, parse};
use mgw_world::{LayerRange, ServiceKind, Vm};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the fields are parsed but never read")]
struct Sample {
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    log: LogSettings,
    #[serde(default)]
    vms: Vec<Vm>,
    #[serde(default)]
    limits: Option<Limits>,
    #[serde(default)]
    kind: Option<ServiceKind>,
    #[serde(default)]
    layers: Vec<Labelled>,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the fields are parsed but never read")]
struct Limits {
    count: u32,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the fields are parsed but never read")]
struct Labelled {
    range: LayerRange,
    label: String,
}

fn check_findings(path: &Path) -> datatest_stable::Result<()> {
    let file = path.file_name().expect("a file").to_string_lossy();
    let text = std::fs::read_to_string(path)?;
    let expected = std::fs::read_to_string(path.with_extension("expected"))?;
    let findings = parse::<Sample>(&file, &text)
        .expect_err("the file is bad")
        .to_string();
    if findings.trim_end() != expected.trim_end() {
        return Err(format!("found:\n{findings}\nexpected:\n{expected}").into());
    }
    Ok(())
}

fn check_loads(path: &Path) -> datatest_stable::Result<()> {
    load::<Sample>(path)?;
    Ok(())
}

datatest_stable::harness! {
    { test = check_findings, root = "tests/bad", pattern = r"\.toml$" },
    { test = check_loads, root = "tests/good", pattern = r"\.toml$" },
}
