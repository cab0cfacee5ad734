//! Checks that the pages under `docs/` match the code: the tests that they name exist, links lead
//! to existing files, the examples are what the wire types read and write, the settings reference
//! lists every key with its default, and every reason and metric is described.

#[path = "pages/settings_fields.rs"]
mod settings_fields;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use mgw_contract::{caller, engine, operator, target};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use settings_fields::list_fields;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Reads a file, with a path relative to the root of the repository.
fn read_file(path: &str) -> String {
    std::fs::read_to_string(repository_root().join(path))
        .unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Whether the source of a test file defines a test of that name, as a function or as a row of a
/// macro's table.
fn defines_test(source: &str, name: &str) -> bool {
    let prefixes = [
        format!("fn {name}("),
        format!("async fn {name}("),
        format!("{name}:"),
        format!("{name},"),
        format!("overload_case!({name},"),
    ];
    source.lines().any(|line| {
        let line = line.trim_start();
        prefixes
            .iter()
            .any(|prefix| line.starts_with(prefix.as_str()))
    })
}

#[test]
fn tests_named_in_the_promises_exist() {
    let page = read_file("docs/PROMISES.md");
    let named_tests: Vec<&str> = page
        .split('`')
        .skip(1)
        .step_by(2)
        .filter(|code| code.contains(".rs::"))
        .collect();
    assert!(
        named_tests.len() > 50,
        "the page names only {} tests",
        named_tests.len()
    );
    let missing: Vec<&&str> = named_tests
        .iter()
        .filter(|code| {
            let (file, name) = code.split_once("::").expect("FILE::TEST");
            let (crate_name, file) = file.split_once('/').expect("CRATE/FILE");
            let path = repository_root().join(format!("crates/{crate_name}/tests/{file}"));
            !std::fs::read_to_string(path).is_ok_and(|source| defines_test(&source, name))
        })
        .collect();
    assert!(
        missing.is_empty(),
        "the page names tests that don't exist: {missing:#?}"
    );
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
        let folder = repository_root()
            .join(page)
            .parent()
            .expect("a page has a folder")
            .to_owned();
        for text in read_file(page).split("](").skip(1) {
            let link = text.split([')', '#']).next().unwrap_or_default();
            if !link.is_empty() && !link.contains("://") && !folder.join(link).exists() {
                broken.push(format!("{page}: {link}"));
            }
        }
    }
    assert!(
        broken.is_empty(),
        "links to files that don't exist: {broken:#?}"
    );
}

/// Checks that decoding the example as the type and encoding it again gives the same JSON.
fn check_example<T: Serialize + DeserializeOwned>(text: &str) -> Result<(), String> {
    let value: T = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let encoded = serde_json::to_value(&value).map_err(|error| error.to_string())?;
    let original: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    if encoded == original {
        return Ok(());
    }
    Err(format!("encoded again it is {encoded}"))
}

type Check = fn(&str) -> Result<(), String>;

macro_rules! checks {
    ($($module:ident::{$($name:ident),+}),+ $(,)?) => {
        BTreeMap::from([$($((stringify!($name), check_example::<$module::$name> as Check),)+)+])
    };
}

/// Returns the examples on a page: name of the type and JSON text.
fn examples(page: &str) -> Vec<(&str, &str)> {
    page.split("<!-- example: ")
        .skip(1)
        .map(|part| {
            let (name, rest) = part
                .split_once(" -->")
                .expect("\" -->\" after the name of the example");
            let rest = rest
                .trim_start()
                .strip_prefix("```json\n")
                .expect("a JSON code block after the name of the example");
            let (json, _) = rest
                .split_once("\n```")
                .expect("the end of the JSON code block");
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
    let page = read_file("docs/INTERFACES.md");
    let examples = examples(&page);
    let mut faults = Vec::new();
    for (name, json) in &examples {
        match checks.get(name) {
            None => faults.push(format!(
                "{name}: no type of this name is in the list of checks"
            )),
            Some(check) => {
                if let Err(fault) = check(json) {
                    faults.push(format!("{name}: {fault}"));
                }
            }
        }
    }
    let shown_names: Vec<&str> = examples.iter().map(|(name, _)| *name).collect();
    let without_example = checks.keys().filter(|name| !shown_names.contains(name));
    faults.extend(without_example.map(|name| format!("{name}: no example")));
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn every_reason_is_described() {
    let page = read_file("docs/INTERFACES.md");
    let Err(error) = serde_json::from_str::<caller::Reason>("\"?\"") else {
        panic!("\"?\" was decoded as a reason");
    };
    // The decoder's error lists all reasons, each in backticks after the unknown one.
    let error = error.to_string();
    let names: Vec<&str> = error.split('`').skip(1).step_by(2).skip(1).collect();
    assert!(
        names.len() > 5,
        "the error doesn't list the reasons: {error}"
    );
    let missing: Vec<&&str> = names
        .iter()
        .filter(|name| !page.contains(&format!("\n| `{name}` | ")))
        .collect();
    assert!(
        missing.is_empty(),
        "reasons that the page doesn't describe: {missing:?}"
    );
}

/// Returns the rows of the table under a heading: key and default.
fn table_rows<'a>(page: &'a str, heading: &str) -> Vec<(&'a str, &'a str)> {
    let section = page
        .split("\n### ")
        .find(|section| section.lines().next() == Some(heading))
        .unwrap_or_else(|| panic!("the page has no section \"{heading}\""));
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
    let page = read_file("docs/OPERATIONS.md");
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
        let mut listed: Vec<&str> = table_rows(&page, heading)
            .iter()
            .map(|(key, _)| *key)
            .collect();
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

/// Returns the defaults listed under a heading, as TOML.
fn listed_defaults(page: &str, heading: &str) -> String {
    let not_defaults = ["-", "none", "see below", "see above"];
    let rows = table_rows(page, heading).into_iter();
    rows.filter(|(_, default)| !not_defaults.contains(default))
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
    let page = read_file("docs/OPERATIONS.md");
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
    let page = read_file("docs/OPERATIONS.md");
    let names = metric_names();
    let missing: Vec<&String> = names
        .iter()
        .filter(|name| !page.contains(&format!("\n| `{name}` | ")))
        .collect();
    assert!(
        missing.is_empty(),
        "metrics that the page doesn't describe: {missing:?}"
    );
}

/// Returns the names of the metrics in the sources of control, entry and relay.
fn metric_names() -> Vec<String> {
    let sources = ["mgw-control", "mgw-entry", "mgw-relay"]
        .map(|crate_name| read_file(&format!("crates/{crate_name}/src/metrics.rs")));
    let literals = sources
        .iter()
        .flat_map(|source| source.split('"').skip(1).step_by(2));
    let names: Vec<String> = literals
        .filter(|literal| literal.starts_with("mgw_"))
        .map(ToOwned::to_owned)
        .collect();
    assert!(names.len() > 10, "too few metrics found in the sources");
    names
}
