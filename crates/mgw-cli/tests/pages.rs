//! The pages under `docs/` keep to the code: tests that they name exist, examples are what the wire
//! types read and write, and the settings reference lists every key with its default.

#[path = "pages/settings_fields.rs"]
mod settings_fields;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use mgw_contract::{caller, engine, operator, target};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use settings_fields::list_fields;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Whether a test file defines a test of that name, as a function, a module or a table's row.
fn defines_test(source: &str, name: &str) -> bool {
    let forms = [
        format!("fn {name}("),
        format!("async fn {name}("),
        format!("{name}:"),
        format!("{name},"),
        format!("overload_case!({name},"),
    ];
    source.lines().any(|line| {
        let line = line.trim_start();
        forms.iter().any(|form| line.starts_with(form.as_str()))
    })
}

#[test]
fn tests_named_in_the_promises_exist() {
    let page = read("docs/PROMISES.md");
    let named: Vec<&str> = page
        .split('`')
        .skip(1)
        .step_by(2)
        .filter(|code| code.contains(".rs::"))
        .collect();
    assert!(named.len() > 50, "only {} tests are named", named.len());
    let missing: Vec<&&str> = named
        .iter()
        .filter(|code| {
            let (file, name) = code.split_once("::").expect("a test's name");
            let (area, file) = file.split_once('/').expect("crate and file");
            let path = root().join(format!("crates/{area}/tests/{file}"));
            !std::fs::read_to_string(path).is_ok_and(|source| defines_test(&source, name))
        })
        .collect();
    assert!(missing.is_empty(), "no such tests: {missing:#?}");
}

#[test]
fn links_between_pages_lead_somewhere() {
    let pages = [
        "README.md",
        "docs/CAPACITY.md",
        "docs/PROMISES.md",
        "docs/OPERATIONS.md",
        "docs/GLOSSARY.md",
        "docs/MEASUREMENTS.md",
        "docs/INTERFACES.md",
        "DEVELOPERS.md",
        "docs/design/house-style.md",
        "docs/design/platform.md",
        "docs/design/related-paper.md",
    ];
    let mut broken = Vec::new();
    for page in pages {
        let folder = root().join(page).parent().expect("a folder").to_owned();
        for part in read(page).split("](").skip(1) {
            let link = part.split([')', '#']).next().unwrap_or_default();
            if !link.is_empty() && !link.contains("://") && !folder.join(link).exists() {
                broken.push(format!("{page}: {link}"));
            }
        }
    }
    assert!(broken.is_empty(), "links that lead nowhere: {broken:#?}");
}

/// Reads the example as the type and writes it again; both must be the same.
fn check_example<T: Serialize + DeserializeOwned>(text: &str) -> Result<(), String> {
    let value: T = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let written = serde_json::to_value(&value).map_err(|error| error.to_string())?;
    let given: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    if written == given {
        return Ok(());
    }
    Err(format!("written as {written}"))
}

type Check = fn(&str) -> Result<(), String>;

macro_rules! checks {
    ($($module:ident::{$($name:ident),+}),+ $(,)?) => {
        BTreeMap::from([$($((stringify!($name), check_example::<$module::$name> as Check),)+)+])
    };
}

fn examples(page: &str) -> Vec<(&str, &str)> {
    page.split("<!-- example: ")
        .skip(1)
        .map(|part| {
            let (name, rest) = part.split_once(" -->").expect("the end of the mark");
            let rest = rest
                .trim_start()
                .strip_prefix("```json\n")
                .expect("a box of JSON");
            let (json, _) = rest.split_once("\n```").expect("the end of the box");
            (name, json)
        })
        .collect()
}

#[test]
fn examples_of_the_interfaces_are_what_the_types_say() {
    let checks = checks! {
        caller::{AddressesReply, CompletionRequest, CompletionChunk, FinalAnswer, CompletionReply},
        target::{Announcement, AnnounceReply},
        engine::{SessionStanding, EngineState, EngineOrder, OrderReply},
        operator::{
            OperatorError, ApplyRequest, ApplyReply, ConfigReply, StatusReply, EntryStatus,
            TargetStatus, AuditRecord, DrainRequest, LedgerRecord, ResolveRequest
        },
    };
    let page = read("docs/INTERFACES.md");
    let examples = examples(&page);
    let mut faults = Vec::new();
    for (name, json) in &examples {
        match checks.get(name) {
            None => faults.push(format!("{name}: no type of that name is checked")),
            Some(check) => {
                if let Err(fault) = check(json) {
                    faults.push(format!("{name}: {fault}"));
                }
            }
        }
    }
    let shown: Vec<&str> = examples.iter().map(|(name, _)| *name).collect();
    let absent = checks.keys().filter(|name| !shown.contains(name));
    faults.extend(absent.map(|name| format!("{name}: no example")));
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn every_reason_is_described() {
    let page = read("docs/INTERFACES.md");
    let Err(error) = serde_json::from_str::<caller::Reason>("\"?\"") else {
        panic!("\"?\" is a reason");
    };
    let error = error.to_string();
    let names: Vec<&str> = error.split('`').skip(1).step_by(2).skip(1).collect();
    assert!(names.len() > 5, "the reasons couldn't be listed: {error}");
    let missing: Vec<&&str> = names
        .iter()
        .filter(|name| !page.contains(&format!("\n| `{name}` | ")))
        .collect();
    assert!(missing.is_empty(), "reasons without a row: {missing:?}");
}

/// Rows of the table under a heading: key and default.
fn rows<'a>(page: &'a str, heading: &str) -> Vec<(&'a str, &'a str)> {
    let section = page
        .split("\n### ")
        .find(|section| section.lines().next() == Some(heading))
        .unwrap_or_else(|| panic!("no section \"{heading}\""));
    section
        .lines()
        .filter_map(|line| {
            let mut cells = line.strip_prefix("| `")?.split(" | ");
            let key = cells.next()?.trim_end_matches('`');
            Some((key, cells.next()?.trim_matches('`')))
        })
        .collect()
}

macro_rules! sections {
    ($($heading:literal: $type:ty;)+) => {
        [$(($heading, list_fields::<$type>()),)+]
    };
}

#[test]
fn settings_reference_lists_every_key() {
    let page = read("docs/OPERATIONS.md");
    let sections = sections! {
        "Entry": mgw_entry::EntrySettings;
        "Entry: `peers`, `controls`; control: `controls`": mgw_entry::Peer;
        "`group`": mgw_peer::GroupFiles;
        "`log`": mgw_settings::LogSettings;
        "Entry: `pipe`": mgw_pipe::PipeSettings;
        "Entry: `times`": mgw_pipe::TimeSettings;
        "Entry: `moves`": mgw_pipe::MoveSettings;
        "Entry: `paces`": mgw_pipe::PaceSettings;
        "Entry: `callers`": mgw_entry::CallerLimits;
        "Entry: `leaving`": mgw_entry::LeavingSettings;
        "Entry: `engines`": mgw_entry::engines::EngineSettings;
        "Control": mgw_control::ControlSettings;
        "Control: `quorum`": mgw_control::QuorumSettings;
        "Inventory": mgw_state::Inventory;
        "Inventory: `places`": mgw_world::Place;
        "Inventory: `vms`": mgw_world::Vm;
        "Inventory: `links`": mgw_world::Link;
        "Inventory: `models`": mgw_world::Model;
        "Inventory: `services`": mgw_world::Service;
        "Inventory: `workspaces`": mgw_world::Workspace;
        "Inventory: `targets`": mgw_state::ExpectedTarget;
        "Inventory: `targets`, HOLDING": mgw_state::Holding;
        "Inventory: `operators`": mgw_state::Operator;
        "Inventory: `rules`": mgw_state::Rules;
        "Inventory: `rules.ledger`": mgw_state::LedgerRules;
        "Inventory: `rules.requests`": mgw_state::RequestRules;
        "Stand-in": mgw_standin::settings::Settings;
        "Stand-in: `reports`": mgw_standin::settings::ReportSettings;
        "Stand-in: `engine`": mgw_standin::settings::EngineSettings;
        "Stand-in: `plain`": mgw_standin::settings::PlainSettings;
        "Stand-in: `weights`": mgw_standin::settings::WeightsSettings;
    };
    let mut faults = Vec::new();
    for (heading, mut expected) in sections {
        let mut listed: Vec<&str> = rows(&page, heading).iter().map(|(key, _)| *key).collect();
        expected.sort_unstable();
        listed.sort_unstable();
        if listed != expected {
            faults.push(format!(
                "{heading}: listed {listed:?}, expected {expected:?}"
            ));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// The defaults listed under a heading, as TOML.
fn listed_defaults(page: &str, heading: &str) -> String {
    let words = ["-", "none", "see below", "see above"];
    let rows = rows(page, heading).into_iter();
    rows.filter(|(_, default)| !words.contains(default))
        .map(|(key, default)| format!("{key} = {default}\n"))
        .collect()
}

macro_rules! defaults {
    ($page:expr, $($heading:literal: $type:ty;)+) => {$(
        let text = listed_defaults($page, $heading);
        let listed: $type = toml::from_str(&text)
            .unwrap_or_else(|error| panic!("{}: {error}", $heading));
        assert_eq!(listed, <$type>::default(), "{}", $heading);
    )+};
}

#[test]
fn settings_reference_lists_the_defaults() {
    let page = read("docs/OPERATIONS.md");
    defaults! { &page,
        "`log`": mgw_settings::LogSettings;
        "Entry: `pipe`": mgw_pipe::PipeSettings;
        "Entry: `times`": mgw_pipe::TimeSettings;
        "Entry: `moves`": mgw_pipe::MoveSettings;
        "Entry: `paces`": mgw_pipe::PaceSettings;
        "Entry: `callers`": mgw_entry::CallerLimits;
        "Entry: `leaving`": mgw_entry::LeavingSettings;
        "Entry: `engines`": mgw_entry::engines::EngineSettings;
        "Control: `quorum`": mgw_control::QuorumSettings;
        "Inventory": mgw_state::Inventory;
        "Inventory: `rules`": mgw_state::Rules;
        "Inventory: `rules.ledger`": mgw_state::LedgerRules;
        "Inventory: `rules.requests`": mgw_state::RequestRules;
        "Stand-in": mgw_standin::settings::Settings;
        "Stand-in: `reports`": mgw_standin::settings::ReportSettings;
        "Stand-in: `engine`": mgw_standin::settings::EngineSettings;
        "Stand-in: `plain`": mgw_standin::settings::PlainSettings;
        "Stand-in: `weights`": mgw_standin::settings::WeightsSettings;
    }
}

#[test]
fn metrics_are_described() {
    let page = read("docs/OPERATIONS.md");
    let names = metric_names();
    let missing: Vec<&String> = names
        .iter()
        .filter(|name| !page.contains(&format!("\n| `{name}` | ")))
        .collect();
    assert!(missing.is_empty(), "metrics without a row: {missing:?}");
}

/// Names of the metrics in the sources of control, entry and relay.
fn metric_names() -> Vec<String> {
    let sources = ["mgw-control", "mgw-entry", "mgw-relay"]
        .map(|area| read(&format!("crates/{area}/src/metrics.rs")));
    let texts = sources
        .iter()
        .flat_map(|source| source.split('"').skip(1).step_by(2));
    let names: Vec<String> = texts
        .filter(|text| text.starts_with("mgw_"))
        .map(ToOwned::to_owned)
        .collect();
    assert!(names.len() > 10, "the metrics couldn't be listed");
    names
}
