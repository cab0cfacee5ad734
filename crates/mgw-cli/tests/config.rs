//! Tests of `mgw config`: output, exit codes and the requests that it sends.

#![allow(clippy::unwrap_used)]

#[allow(dead_code, reason = "each test file uses only some of it")]
mod support;

use hyper::StatusCode;
use mgw_contract::operator::{ApplyReply, ApplyRequest, ConfigFinding, ConfigReply, OperatorError};
use mgw_world::{OperatorName, Revision};
use support::{FakeControl, run_mgw, stderr, stdout};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/inventory.toml");

/// Returns an address at which nothing listens: the port was free, and the listener that found it
/// is closed on return.
fn unused_address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    format!("http://{}", listener.local_addr().unwrap())
}

/// Applies the example with base 4 and change id `c-5`.
fn run_apply(control: &FakeControl) -> std::process::Output {
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
    let errors = stderr(&output);
    assert!(errors.contains("bad.toml:7: models[0].layerz"), "{errors}");
    assert!(errors.lines().count() >= 2, "{errors}");
}

#[test]
fn apply_sends_base_change_id_and_operator() {
    let control = FakeControl::start(
        StatusCode::OK,
        &ApplyReply::Accepted {
            revision: Revision(5),
        },
    );
    let output = run_apply(&control);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stdout(&output), "accepted as revision 5\n");
    let calls = control.calls();
    let request: ApplyRequest = serde_json::from_str(&calls[0].body).unwrap();
    assert_eq!(
        (request.base, request.change_id.as_str()),
        (Revision(4), "c-5")
    );
    assert_eq!(calls[0].operator, "anika");
}

#[test]
fn apply_names_the_winner_of_a_conflict() {
    let conflict = ApplyReply::Conflict {
        current: Revision(5),
        winner_change_id: "c-other".to_owned(),
        winner: OperatorName::from("ravi"),
    };
    let output = run_apply(&FakeControl::start(StatusCode::OK, &conflict));
    assert_eq!(output.status.code(), Some(3));
    let text = stdout(&output);
    assert!(text.contains("ravi") && text.contains("c-other"), "{text}");
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
    let output = run_apply(&FakeControl::start(StatusCode::OK, &invalid));
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
    let output = run_mgw(&[&unused_address(), &control.url], &["config", "show"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stdout(&output), "# revision 3\n# nothing\n");
}

#[test]
fn unreachable_system_has_its_own_exit_code() {
    let output = run_mgw(&[&unused_address()], &["config", "show"]);
    assert_eq!(output.status.code(), Some(4));
    assert_eq!(stdout(&output), "");
}

#[test]
fn refusal_says_what_to_do() {
    let refusal = OperatorError {
        message: "name or key of the operator is wrong".to_owned(),
        help: "name and key are those of an operator in the configuration".to_owned(),
    };
    let output = run_apply(&FakeControl::start(StatusCode::FORBIDDEN, &refusal));
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
