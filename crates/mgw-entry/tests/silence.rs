//! Entries that are killed or frozen, places that go silent, and entries without a control.

mod support;

use mgw_contract::caller::Outcome;
use support::System;

/// Targets, each announcing to another entry.
fn start_targets(system: &mut System, count: usize, place: &str) -> Vec<String> {
    let names: Vec<String> = (0..count).map(|n| format!("{place}-engine-{n}")).collect();
    for (turn, name) in names.iter().enumerate() {
        system.start_engine(name, place, turn);
    }
    names
}

fn until_all_choose(system: &System, entries: &[&str], count: usize) {
    for entry in entries {
        system.until("targets", |system| system.in_choice(entry).len() == count);
    }
}

#[test]
fn killed_entry_vanishes_and_its_targets_move() {
    let mut system = System::start(3);
    start_targets(&mut system, 3, "pos-a");
    until_all_choose(&system, &["entry-0", "entry-1", "entry-2"], 3);
    system.signal("entry-2", "-KILL");
    assert!(!system.wait("entry-2"));
    for entry in ["entry-0", "entry-1"] {
        system.until("it vanishes", |system| !system.names(entry, "entry-2"));
    }
    until_all_choose(&system, &["entry-0", "entry-1"], 3);
    for _ in 0..5 {
        assert!(!system.names("entry-0", "entry-2"));
    }
    system.start_entry("entry-2");
    system.until("it is back", |system| system.names("entry-0", "entry-2"));
}

#[test]
fn frozen_entry_vanishes_and_comes_back() {
    let mut system = System::start(3);
    start_targets(&mut system, 3, "pos-a");
    until_all_choose(&system, &["entry-0", "entry-1", "entry-2"], 3);
    system.signal("entry-2", "-STOP");
    for entry in ["entry-0", "entry-1"] {
        system.until("it vanishes", |system| !system.names(entry, "entry-2"));
    }
    until_all_choose(&system, &["entry-0", "entry-1"], 3);
    system.signal("entry-2", "-CONT");
    system.until("it is back", |system| system.names("entry-0", "entry-2"));
}

#[test]
fn entry_that_hears_nobody_stops_giving_itself_out() {
    let mut system = System::start(3);
    start_targets(&mut system, 3, "pos-a");
    until_all_choose(&system, &["entry-0"], 3);
    for silent in ["entry-1", "entry-2", "control"] {
        system.signal(silent, "-STOP");
    }
    system.until("it gives itself out no more", |system| {
        let answer = system.addresses("entry-0").expect("an answer");
        !answer.entries.is_empty() && !system.names("entry-0", "entry-0")
    });
    let answer = system.addresses("entry-0").expect("an answer");
    assert_eq!(answer.entries.len(), 2, "the others as last heard");
    for silent in ["entry-1", "entry-2", "control"] {
        system.signal(silent, "-CONT");
    }
    system.until("it is back", |system| system.names("entry-0", "entry-0"));
}

#[test]
fn silent_place_is_reported_and_the_others_go_on() {
    let mut system = System::start(2);
    let stay = start_targets(&mut system, 2, "pos-a");
    let silent = start_targets(&mut system, 3, "chg-c");
    until_all_choose(&system, &["entry-0", "entry-1"], 5);
    for name in &silent {
        system.signal(name, "-STOP");
    }
    let reports = |system: &System| {
        let status = system.status("entry-0").expect("status");
        status.attention.iter().any(|text| text.contains("chg-c"))
    };
    system.until("the place is reported", reports);
    assert_eq!(system.in_choice("entry-0"), stay);
    let answer = system.complete("entry-0").expect("answer");
    assert_eq!(answer.outcome, Outcome::Done, "{}", answer.message);
    for name in &silent {
        system.signal(name, "-CONT");
    }
    until_all_choose(&system, &["entry-0", "entry-1"], 5);
    assert!(!reports(&system));
}

#[test]
fn entry_without_a_control_answers_addresses_and_runs_nothing() {
    let mut system = System::empty();
    system.reserve("control");
    system.reserve("entry-0");
    system.start_entry("entry-0");
    system.until("a list", |system| {
        let answer = system.addresses("entry-0");
        answer.is_some_and(|answer| answer.entries.len() == 1)
    });
    for _ in 0..5 {
        let answer = system.complete("entry-0").expect("answer");
        assert_eq!(answer.outcome, Outcome::NotRun);
        std::thread::sleep(std::time::Duration::from_secs(1));
    }
}

#[test]
fn entry_that_has_seen_a_newer_revision_waits_for_it() {
    let mut system = System::start(2);
    start_targets(&mut system, 1, "pos-a");
    system.signal("entry-1", "-KILL");
    assert!(!system.wait("entry-1"));
    std::fs::write(system.path("entry-1.data").join("revision"), "99\n").expect("revision");
    system.start_entry("entry-1");
    system.until("it answers", |system| system.addresses("entry-1").is_some());
    // The others may name it until they have heard of its new start; it refuses meanwhile.
    system.until("the new start is heard", |system| {
        let answer = system.complete("entry-1").expect("answer");
        assert_eq!(answer.outcome, Outcome::NotRun);
        !system.names("entry-0", "entry-1")
    });
    for _ in 0..6 {
        let answer = system.complete("entry-1").expect("answer");
        assert_eq!(answer.outcome, Outcome::NotRun);
        assert!(!system.names("entry-0", "entry-1"));
        std::thread::sleep(std::time::Duration::from_secs(1));
    }
}

#[test]
fn entry_that_is_asked_to_end_while_it_starts_ends_at_once() {
    let mut system = System::empty();
    system.reserve("control");
    system.reserve("entry-0");
    system.start_entry("entry-0");
    system.until("it answers", |system| system.addresses("entry-0").is_some());
    system.signal("entry-0", "-TERM");
    assert!(system.wait("entry-0"));
    assert!(system.log("entry-0").contains("leaving before it served"));
}
