//! `mgw config`: answers, exit codes and what goes over the wire.

#![allow(clippy::unwrap_used)]

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use hyper::StatusCode;
use mgw_contract::operator::{ApplyReply, ApplyRequest, ConfigFinding, ConfigReply, OperatorError};
use mgw_world::{OperatorName, Revision};
use support::{FakeControl, run_mgw, stderr, stdout};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/inventory.toml");

/// An address at which nothing listens: the port is bound by nobody after the probe closed it.
fn dead_address() -> String {
    let probe = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    format!("http://{}", probe.local_addr().unwrap())
}

fn apply(control: &FakeControl) -> std::process::Output {
    run_mgw(
        &[&control.url],
        &[
            "config",
            "apply",
            EXAMPLE,
            "--base",
            "4",
            "--change-id",
            "c-5",
        ],
    )
}

#[test]
fn check_accepts_the_example() {
    let output = run_mgw(&[], &["config", "check", EXAMPLE]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stdout(&output), "no faults found\n");
}

#[test]
fn check_lists_all_faults_with_file_and_line() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("bad.toml");
    let text =
        "[[vms]]\nname = \"vm-1\"\nplace = \"nowhere\"\n\n[[models]]\nname = \"m\"\nlayerz = 3\n";
    std::fs::write(&file, text).unwrap();
    let output = run_mgw(&[], &["config", "check", file.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(stdout(&output), "");
    let said = stderr(&output);
    assert!(said.contains("bad.toml:7: models[0].layerz"), "{said}");
    assert!(said.lines().count() >= 2, "{said}");
}

#[test]
fn apply_sends_base_change_id_and_operator() {
    let control = FakeControl::start(
        StatusCode::OK,
        &ApplyReply::Accepted {
            revision: Revision(5),
        },
    );
    let output = apply(&control);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stdout(&output), "accepted as revision 5\n");
    let calls = control.calls();
    let sent: ApplyRequest = serde_json::from_str(&calls[0].body).unwrap();
    assert_eq!((sent.base, sent.change_id.as_str()), (Revision(4), "c-5"));
    assert_eq!(calls[0].operator, "anika");
}

#[test]
fn apply_names_the_winner_of_a_conflict() {
    let conflict = ApplyReply::Conflict {
        current: Revision(5),
        winner_change_id: "c-other".to_owned(),
        winner: OperatorName::from("ravi"),
    };
    let output = apply(&FakeControl::start(StatusCode::OK, &conflict));
    assert_eq!(output.status.code(), Some(3));
    let said = stdout(&output);
    assert!(said.contains("ravi") && said.contains("c-other"), "{said}");
}

#[test]
fn apply_lists_findings_of_the_control() {
    let finding = ConfigFinding {
        line: 7,
        key: "vms[0].place".to_owned(),
        message: "no such place".to_owned(),
    };
    let invalid = ApplyReply::Invalid {
        findings: vec![finding],
    };
    let output = apply(&FakeControl::start(StatusCode::OK, &invalid));
    assert_eq!(output.status.code(), Some(1));
    assert!(stdout(&output).contains("inventory.toml:7: vms[0].place: no such place"));
}

#[test]
fn next_address_is_tried_when_one_is_dead() {
    let reply = ConfigReply {
        revision: Revision(3),
        text: "# nothing".to_owned(),
    };
    let control = FakeControl::start(StatusCode::OK, &reply);
    let output = run_mgw(&[&dead_address(), &control.url], &["config", "show"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stdout(&output), "# revision 3\n# nothing\n");
}

#[test]
fn unreachable_system_has_its_own_exit_code() {
    let output = run_mgw(&[&dead_address()], &["config", "show"]);
    assert_eq!(output.status.code(), Some(4));
    assert_eq!(stdout(&output), "");
}

#[test]
fn refusal_says_what_to_do() {
    let refusal = OperatorError {
        message: "name or key of the operator is wrong".to_owned(),
        help: "name and key are those of an operator in the configuration".to_owned(),
    };
    let output = apply(&FakeControl::start(StatusCode::FORBIDDEN, &refusal));
    assert_eq!(output.status.code(), Some(6));
    assert!(
        stderr(&output).contains(&refusal.help),
        "{}",
        stderr(&output)
    );
    assert_eq!(stdout(&output), "");
}

#[test]
fn missing_address_is_explained() {
    let output = run_mgw(&[], &["status"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("--at"));
}
