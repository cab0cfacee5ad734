//! The targets that are leaving, as the log remembers them.

#![allow(clippy::unwrap_used)]

mod common;

use common::StateDriver;
use mgw_state::{Action, Reply, State};
use mgw_world::Incarnation;

fn leave(driver: &mut StateDriver, target: &str, incarnation: u64) {
    let reply = driver.apply(Action::TargetLeaving {
        target: target.into(),
        incarnation: Incarnation(incarnation),
    });
    assert_eq!(reply, Reply::Noted);
}

fn list(state: &State) -> Vec<(String, u64)> {
    let targets = state.leaving().iter();
    let targets = targets.map(|(name, incarnation)| (name.to_string(), incarnation.0));
    targets.collect()
}

/// Review case 3: what a target said outlasts a restart of every control.
#[test]
fn leaving_targets_outlast_a_restart() {
    let mut driver = StateDriver::default();
    leave(&mut driver, "a", 5);
    let restored = State::restore(&driver.state.snapshot()).unwrap();
    assert_eq!(list(&restored), [("a".to_owned(), 5)]);
}

#[test]
fn the_newest_incarnation_counts_and_repeats_change_nothing() {
    let mut driver = StateDriver::default();
    for incarnation in [5, 5, 4, 7] {
        leave(&mut driver, "a", incarnation);
    }
    assert_eq!(list(&driver.state), [("a".to_owned(), 7)]);
    assert_eq!(driver.state.leaving().revision(), 2);
}

#[test]
fn the_number_of_remembered_targets_is_bounded() {
    let mut driver = StateDriver::default();
    for number in 0..1_100 {
        leave(&mut driver, &format!("target-{number:04}"), 1);
    }
    let remembered = list(&driver.state);
    assert_eq!(remembered.len(), 1_000);
    assert_eq!(remembered.last().unwrap().0, "target-1099");
}
