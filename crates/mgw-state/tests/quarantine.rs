//! The quarantine of parts of prompts: verdicts are kept, and operators lift them.

#![allow(clippy::unwrap_used)]

mod common;

use common::StateDriver;
use mgw_state::{Action, Reply, State};
use mgw_world::{PromptPart, RequestDigest, Subject};

const PART: PromptPart = PromptPart(0xbad);

fn quarantine(driver: &mut StateDriver) -> Reply {
    driver.apply(Action::Quarantine {
        subject: PART.into(),
        evidence: "4 targets ended".to_owned(),
    })
}

fn lift(driver: &mut StateDriver) -> Reply {
    driver.apply(Action::Lift {
        operator: "ana".into(),
        subject: PART.into(),
    })
}

fn subjects(state: &State) -> Vec<Subject> {
    let quarantined = state.quarantine().subjects();
    quarantined.map(|it| it.subject).collect()
}

#[test]
fn a_verdict_outlasts_a_restart_and_is_recorded_once() {
    let mut driver = StateDriver::default();
    assert_eq!(quarantine(&mut driver), Reply::Quarantine { changed: true });
    assert_eq!(
        quarantine(&mut driver),
        Reply::Quarantine { changed: false }
    );
    let restored = State::restore(&driver.state.snapshot()).unwrap();
    assert_eq!(subjects(&restored), [PART.into()]);
    assert_eq!(restored.quarantine().revision(), 1);
    assert_eq!(restored.audit().total(), 1);
}

#[test]
fn an_operator_lifts_a_verdict_and_the_audit_trail_tells_who() {
    let mut driver = StateDriver::default();
    quarantine(&mut driver);
    assert_eq!(lift(&mut driver), Reply::Quarantine { changed: true });
    assert_eq!(subjects(&driver.state), []);
    assert_eq!(lift(&mut driver), Reply::Quarantine { changed: false });
    assert_eq!(driver.state.quarantine().revision(), 2);
    let records: Vec<(String, String, bool)> = driver
        .state
        .audit()
        .iter()
        .map(|it| (it.operator.to_string(), it.action.clone(), it.accepted))
        .collect();
    let expected = [
        (String::new(), "quarantine".to_owned(), true),
        ("ana".to_owned(), "lift quarantine".to_owned(), true),
        ("ana".to_owned(), "lift quarantine".to_owned(), false),
    ];
    assert_eq!(records, expected);
}

/// Parts and requests are held side by side, also those that the actions of earlier builds name.
#[test]
fn requests_are_quarantined_beside_parts() {
    let mut driver = StateDriver::default();
    let request = Subject::Request(RequestDigest([7; 16]));
    driver.apply(Action::QuarantinePart {
        part: PART,
        evidence: String::new(),
    });
    driver.apply(Action::Quarantine {
        subject: request,
        evidence: "3 targets ended".to_owned(),
    });
    let restored = State::restore(&driver.state.snapshot()).unwrap();
    assert_eq!(restored, driver.state);
    assert_eq!(subjects(&restored), [PART.into(), request]);
    driver.apply(Action::LiftQuarantine {
        operator: "ana".into(),
        part: PART,
    });
    assert_eq!(subjects(&driver.state), [request]);
}

/// Earlier builds wrote the state without the leaving targets, and still earlier ones the quarantine without the
/// requests.
#[test]
fn snapshots_of_earlier_builds_keep_their_parts() {
    // (format, number of bytes at the end that it lacks, all of which stand for nothing)
    for (format, missing) in [(5, 2), (4, 3)] {
        let mut driver = StateDriver::default();
        quarantine(&mut driver);
        let mut earlier = driver.state.snapshot();
        let rest = earlier.split_off(earlier.len() - missing);
        assert!(rest.iter().all(|byte| *byte == 0), "{format}");
        earlier[0] = format;
        let restored = State::restore(&earlier).unwrap();
        assert_eq!(subjects(&restored), [PART.into()], "{format}");
    }
}
