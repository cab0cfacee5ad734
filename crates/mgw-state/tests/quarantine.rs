//! The quarantine of parts of prompts: verdicts are kept, and operators lift them.

#![allow(clippy::unwrap_used)]

mod common;

use common::StateDriver;
use mgw_state::{Action, Reply, State};
use mgw_world::PromptPart;

const PART: PromptPart = PromptPart(0xbad);

fn quarantine(driver: &mut StateDriver) -> Reply {
    driver.apply(Action::QuarantinePart {
        part: PART,
        evidence: "4 targets ended".to_owned(),
    })
}

fn lift(driver: &mut StateDriver) -> Reply {
    driver.apply(Action::LiftQuarantine {
        operator: "ana".into(),
        part: PART,
    })
}

fn parts(state: &State) -> Vec<PromptPart> {
    state.quarantine().parts().map(|it| it.part).collect()
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
    assert_eq!(parts(&restored), [PART]);
    assert_eq!(restored.quarantine().revision(), 1);
    assert_eq!(restored.audit().total(), 1);
}

#[test]
fn an_operator_lifts_a_verdict_and_the_audit_trail_tells_who() {
    let mut driver = StateDriver::default();
    quarantine(&mut driver);
    assert_eq!(lift(&mut driver), Reply::Quarantine { changed: true });
    assert_eq!(parts(&driver.state), []);
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
